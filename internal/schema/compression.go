package schema

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"

	"github.com/klauspost/compress/flate"
)

// Machine shards and job shards repeat the same few words in every entry, and a value may
// be short: they are stored as a JSON string of their deflated JSON when that is
// the shorter form. Both forms are read.

// compress encodes a document in the shorter form.
func compress(doc any) ([]byte, error) {
	plain, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", doc, err)
	}
	var deflated bytes.Buffer
	if err := flate.StatelessDeflate(&deflated, plain, true, nil); err != nil {
		return nil, fmt.Errorf("deflate %T: %w", doc, err)
	}
	size := base64.RawStdEncoding.EncodedLen(deflated.Len()) + 2
	if size >= len(plain) {
		return plain, nil
	}
	out := make([]byte, size)
	out[0], out[size-1] = '"', '"'
	base64.RawStdEncoding.Encode(out[1:], deflated.Bytes())
	return out, nil
}

// MaxStoredSize bounds what so many bytes of plain JSON add to a value that may be
// stored in the short form: what does not shrink is a third longer there.
func MaxStoredSize(plain int) int { return plain*4/3 + 8 }

// maxDecompressedBytes bounds what one value may grow to; a longer one is not ours.
const maxDecompressedBytes = 4 << 20

// decompress gives a document's plain JSON.
func decompress(raw []byte) ([]byte, error) {
	if len(raw) < 2 || raw[0] != '"' {
		return raw, nil
	}
	deflated, err := base64.RawStdEncoding.DecodeString(string(raw[1 : len(raw)-1]))
	if err != nil {
		return nil, fmt.Errorf("expand: %w", err)
	}
	reader := flate.NewReader(bytes.NewReader(deflated))
	defer reader.Close()
	plain, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes))
	if err != nil {
		return nil, fmt.Errorf("expand: %w", err)
	}
	return plain, nil
}

// PlainJSON gives the JSON of a stored value, whichever form it has; nil when it is
// unreadable.
func PlainJSON(raw json.RawMessage) []byte {
	plain, err := decompress(raw)
	if err != nil {
		return nil
	}
	return plain
}

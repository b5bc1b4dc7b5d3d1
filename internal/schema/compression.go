package schema

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"

	"github.com/klauspost/compress/flate"
)

// Machine shards and job shards repeat the same strings in every entry, and the store limits the size
// of a value. A shard is therefore stored in its deflated form where that is shorter than its plain
// JSON. The deflated form is a JSON string: the plain JSON, deflated and encoded in base 64. Decoding
// accepts both forms.

// compress encodes a document as plain JSON or in the deflated form, whichever is shorter.
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

// MaxStoredGrowth returns the most bytes by which a stored shard can grow when addedBytes of plain JSON
// are added to it: in the deflated form, base 64 makes data that does not compress a third longer.
func MaxStoredGrowth(addedBytes int) int { return addedBytes*4/3 + 8 }

// maxDecompressedBytes limits how much of a deflated value is decompressed, so that a corrupt one
// cannot exhaust the memory. No valid document is that long.
const maxDecompressedBytes = 4 << 20

// decompress returns the plain JSON of a document that is stored in either form.
func decompress(raw []byte) ([]byte, error) {
	if len(raw) < 2 || raw[0] != '"' {
		return raw, nil
	}
	deflated, err := base64.RawStdEncoding.DecodeString(string(raw[1 : len(raw)-1]))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	reader := flate.NewReader(bytes.NewReader(deflated))
	defer func() { _ = reader.Close() }() // reports no error that reading has not already returned
	plain, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return plain, nil
}

// PlainJSON returns the plain JSON of a stored value in either form; nil if it is unreadable.
func PlainJSON(raw json.RawMessage) []byte {
	plain, err := decompress(raw)
	if err != nil {
		return nil
	}
	return plain
}

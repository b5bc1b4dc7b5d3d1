package schema

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"

	"github.com/klauspost/compress/flate"
)

// Machine shards and job shards repeat the same few words in every entry, and values are limited in
// size. The deflated form of a document is a JSON string: its plain JSON, deflated and in base 64.
// A shard is stored in that form where it is shorter than the plain one; both are always read.

// compress encodes a document in the shorter of the two forms.
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

// MaxStoredSize bounds by how much a shard grows in the store when so many bytes of plain JSON
// are added to it: in the deflated form, what does not shrink is a third longer.
func MaxStoredSize(plain int) int { return plain*4/3 + 8 }

// maxDecompressedBytes bounds what is read of a deflated value, so that a corrupt one cannot
// exhaust the memory. No document of ours is as long.
const maxDecompressedBytes = 4 << 20

// decompress returns the plain JSON of a document in either form.
func decompress(raw []byte) ([]byte, error) {
	if len(raw) < 2 || raw[0] != '"' {
		return raw, nil
	}
	deflated, err := base64.RawStdEncoding.DecodeString(string(raw[1 : len(raw)-1]))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	reader := flate.NewReader(bytes.NewReader(deflated))
	defer func() { _ = reader.Close() }() // reports no error that reading did not
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

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

// squeeze encodes a document in the shorter form.
func squeeze(doc any) ([]byte, error) {
	plain, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", doc, err)
	}
	var packed bytes.Buffer
	if err := flate.StatelessDeflate(&packed, plain, true, nil); err != nil {
		return nil, fmt.Errorf("deflate %T: %w", doc, err)
	}
	n := base64.RawStdEncoding.EncodedLen(packed.Len()) + 2
	if n >= len(plain) {
		return plain, nil
	}
	out := make([]byte, n)
	out[0], out[n-1] = '"', '"'
	base64.RawStdEncoding.Encode(out[1:], packed.Bytes())
	return out, nil
}

// StoredCost bounds what so many bytes of plain JSON add to a value that may be
// stored in the short form: what does not shrink is a third longer there.
func StoredCost(plain int) int { return plain*4/3 + 8 }

// mostExpanded bounds what one value may grow to; a longer one is not ours.
const mostExpanded = 4 << 20

// expand gives a document's plain JSON.
func expand(raw []byte) ([]byte, error) {
	if len(raw) < 2 || raw[0] != '"' {
		return raw, nil
	}
	packed, err := base64.RawStdEncoding.DecodeString(string(raw[1 : len(raw)-1]))
	if err != nil {
		return nil, fmt.Errorf("expand: %w", err)
	}
	r := flate.NewReader(bytes.NewReader(packed))
	defer r.Close()
	plain, err := io.ReadAll(io.LimitReader(r, mostExpanded))
	if err != nil {
		return nil, fmt.Errorf("expand: %w", err)
	}
	return plain, nil
}

// Plain gives the JSON of a stored value, whichever form it has; nil when it is
// unreadable.
func Plain(raw json.RawMessage) []byte {
	plain, err := expand(raw)
	if err != nil {
		return nil
	}
	return plain
}

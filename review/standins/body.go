package main

import (
	"bytes"
	"io"
)

func newBody(encoded []byte) io.Reader { return bytes.NewReader(encoded) }

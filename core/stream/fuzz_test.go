package stream_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"hickoryvane.example/core/stream"
)

// Guards against bytes of a stream that are lost, added, or reported as an event although they are padding or
// unfinished, however they are cut into reads.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), false)
	f.Add([]byte(": comment\n\n\n\r\n\ndata: x\r\n\r\nda"), true)
	f.Add([]byte("id:\n\ndata\n\n\x00\xff\n\n"), true)
	f.Fuzz(func(t *testing.T, in []byte, byteByByte bool) {
		var r io.Reader = bytes.NewReader(in)
		if byteByByte {
			r = iotest.OneByteReader(r)
		}
		e := stream.NewReader(r)
		var out []byte
		for n := 0; ; n++ {
			block, isEvent, err := e.Next()
			out = append(out, block...)
			if err != nil {
				if !errors.Is(err, io.EOF) || !bytes.Equal(out, in) {
					t.Fatalf("%v after %d of %d bytes", err, len(out), len(in))
				}
				return
			}
			trimmed := bytes.TrimRight(block, "\r\n")
			switch {
			case len(block) == 0 || n > len(in):
				t.Fatal("no progress")
			case block[len(block)-1] != '\n':
				t.Fatalf("unfinished block %q", block)
			case isEvent && len(trimmed) == 0:
				t.Fatalf("padding %q is reported as an event", block)
			}
		}
	})
}

package wire_test

import (
	"testing"

	"hickoryvane.example/core/wire"
)

// BenchmarkRoundTrip measures the encoding and decoding of one small frame.
func BenchmarkRoundTrip(b *testing.B) {
	m := &wire.Chunk{ID: "0123456789abcdef0123456789abcdef", Boot: 1_800_000_000_000_000_000, Seq: 7, Data: make([]byte, 200), Tokens: 1}
	b.ReportAllocs()
	for b.Loop() {
		frame, err := wire.Encode(m)
		if err != nil {
			b.Fatal(err)
		}
		if _, err = wire.Decode(frame); err != nil {
			b.Fatal(err)
		}
	}
}

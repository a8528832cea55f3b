package answer_test

import (
	"testing"

	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// BenchmarkChunk measures one chunk from the target to a reader; an answer has 256 chunks.
func BenchmarkChunk(b *testing.B) {
	s := answer.New(boot, answer.WithBytesMax(1<<20))
	data := make([]byte, 200)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := ident.RequestID(rune(i / 256 % 1024))
		if i%256 == 0 {
			_ = s.Open(id, "a")
			_ = s.Attach(1, attachMessage(id, 0, 1<<30))
		}
		_, _ = s.Append(id, answer.Fragment{Data: data, Tokens: 1})
		readFrames(s, 1)
		if i%256 == 255 {
			_, _ = s.Finish(t0, id, wire.End{Complete: true})
		}
	}
}

package plan

import (
	"math/rand/v2"

	"hickoryvane.example/core/ident"
)

// defaultText is the source of prompts when a mix names no text files.
const defaultText = "The railing on the north side shows flaking paint and rust at the welds. " +
	"Blast to bare metal, apply zinc primer, then two coats. Seal the pane before the next rain. "

// cut returns about n tokens of text from byte offset from, repeating the text when it ends.
func excerpt(text []byte, from int, n ident.Tokens) string {
	want := int(n) * ident.TokenBytes
	b := make([]byte, 0, want)
	for from %= len(text); len(b) < want; from = 0 {
		b = append(b, text[from:min(len(text), from+want-len(b))]...)
	}
	return string(b)
}

func (r TokenRange) draw(g *rand.Rand) ident.Tokens {
	return r[0] + ident.Tokens(g.Int64N(int64(r[1]-r[0])+1))
}

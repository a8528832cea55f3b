package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/chat"
	"hickoryvane.example/core/ident"
)

// Answer returns the text that every engine gives to r: the hash of the prompt in 16 hexadecimal
// digits, then one word of three hexadecimal digits for each further token of r.Output().
// A client that computes it can tell whether it got its own whole answer.
func Answer(r chat.Request) string {
	sum := xxhash.Sum64(r.Prompt())
	var b strings.Builder
	for i := range r.ExpectedOutput() {
		b.WriteString(answerToken(sum, i))
	}
	return b.String()
}

// word returns token i, from 0, of the answer to the prompt with the given hash.
func answerToken(sum uint64, i ident.Tokens) string {
	if i == 0 {
		return fmt.Sprintf("%016x", sum)
	}
	// Odd multipliers from the splitmix64 generator spread the bits of neighbouring tokens.
	x := (sum ^ uint64(i)) * 0xbf58476d1ce4e5b9
	return fmt.Sprintf(" %03x", (x^x>>31)*0x94d049bb133111eb>>52)
}

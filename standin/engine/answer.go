package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/chat"
	"hickoryvane.example/core/ident"
)

// Answer returns the text with which every engine answers r: the hash of the prompt in 16 hexadecimal
// digits, then one word of three hexadecimal digits for each further token of the output length of r.
// A client that computes it can tell whether it got its own answer and the complete text.
func Answer(r chat.Request) string {
	promptHash := xxhash.Sum64(r.Prompt())
	var b strings.Builder
	for i := range r.ExpectedOutput() {
		b.WriteString(answerToken(promptHash, i))
	}
	return b.String()
}

// answerToken returns token i, from 0, of the answer to the prompt with the given hash.
func answerToken(promptHash uint64, i ident.Tokens) string {
	if i == 0 {
		return fmt.Sprintf("%016x", promptHash)
	}
	// The odd multipliers of the splitmix64 generator give adjacent tokens unrelated bits.
	x := (promptHash ^ uint64(i)) * 0xbf58476d1ce4e5b9
	return fmt.Sprintf(" %03x", (x^x>>31)*0x94d049bb133111eb>>52)
}

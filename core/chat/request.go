// Package chat reads and writes the common chat-completions protocol: requests in JSON, answers in JSON or as
// server-sent events.
package chat

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
)

const (
	// BodyBytesMax is the largest request body in bytes.
	BodyBytesMax = 2 << 20
	// OutputDefault is the number of output tokens that is expected of a request without a limit.
	OutputDefault ident.Tokens = 256
	// OutputMax is the largest limit of output tokens that a request may state.
	OutputMax ident.Tokens = 128 << 10
	// messagesMax bounds the messages of one request.
	messagesMax = 4096
)

// ErrInvalidRequest means that a body is not a chat-completions request.
var ErrInvalidRequest = errors.New("not a chat-completions request")

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request holds the members of a chat-completions request that the scheduler reads. Other members of the body reach the
// target unchanged.
type Request struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	Stream   bool      `json:"stream"`
	// MaxTokens and MaxCompletionTokens are the older and the newer name of the same limit.
	MaxTokens           ident.Tokens `json:"max_tokens"`
	MaxCompletionTokens ident.Tokens `json:"max_completion_tokens"`
	User                string       `json:"user"`
}

// Parse reads a request body. Errors wrap ErrInvalidRequest and state what is wrong.
func Parse(body []byte) (r Request, err error) {
	defer func() { err = errors.WithMessage(err, "read request") }()
	if err = json.Unmarshal(body, &r); err != nil {
		return r, errors.Wrap(ErrInvalidRequest, err.Error())
	}
	switch {
	case len(r.Messages) == 0:
		return r, errors.Wrap(ErrInvalidRequest, "messages is empty")
	case len(r.Messages) > messagesMax:
		return r, errors.Wrapf(ErrInvalidRequest, "more than %d messages", messagesMax)
	case r.outputLimit() < 0 || r.outputLimit() > OutputMax:
		return r, errors.Wrapf(ErrInvalidRequest, "max_tokens is not between 1 and %d", OutputMax)
	}
	return r, nil
}

// Prompt returns the text whose blocks engines cache: the roles and contents of the messages in order.
func (r Request) Prompt() []byte {
	var b bytes.Buffer
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// ExpectedOutput returns the expected number of output tokens.
func (r Request) ExpectedOutput() ident.Tokens {
	if n := r.outputLimit(); n > 0 {
		return n
	}
	return OutputDefault
}

func (r Request) outputLimit() ident.Tokens {
	if r.MaxCompletionTokens != 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

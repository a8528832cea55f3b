package proof_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"hickoryvane.example/core/chat"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/standin/engine"
)

// call is one HTTP request of a caller.
type call struct {
	account, method, path, body string
	// key is the value of the Idempotency-Key header; empty for none.
	key string
	// header holds additional header fields.
	header map[string]string
}

// chatCall returns a chat completion request with a maximum number of answer tokens.
func chatCall(account, model, prompt string, tokens int, stream bool) call {
	b, _ := json.Marshal(chat.Request{ // strings and numbers can always be encoded
		Model: model, Messages: []chat.Message{{Role: "user", Content: prompt}}, Stream: stream, MaxCompletionTokens: 0,
	})
	body := strings.Replace(string(b), `"max_tokens":0`, fmt.Sprintf(`"max_tokens":%d`, tokens), 1)
	return call{account: account, method: http.MethodPost, path: "/v1/chat/completions", body: body}
}

// withKey returns the call with an Idempotency-Key.
func (c call) withKey(key string) call {
	c.key = key
	return c
}

// reply is the response that the caller got. err is a connection error.
type reply struct {
	call
	code   int
	header http.Header
	body   string
	err    error
}

// send sends a call to the router that listens for callers at addr.
func (s *deployment) send(addr string, c call) (r reply) {
	r.call = c
	req, err := http.NewRequestWithContext(s.t.Context(), c.method, "http://"+addr+c.path, strings.NewReader(c.body))
	if err != nil {
		r.err = err
		return r
	}
	if c.account != "" {
		req.Header.Set("Authorization", "Bearer demo-"+c.account)
	}
	if c.key != "" {
		req.Header.Set("Idempotency-Key", c.key)
	}
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	res, err := s.client.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = res.Body.Close() }()
	r.code, r.header = res.StatusCode, res.Header
	b, err := io.ReadAll(res.Body)
	r.body, r.err = string(b), err
	return r
}

// isStream reports whether the answer is a stream.
func (r reply) isStream() bool {
	return strings.HasPrefix(r.header.Get("Content-Type"), "text/event-stream")
}

// complete reports whether the answer is marked as complete.
func (r reply) complete() bool {
	if r.err != nil || r.code != http.StatusOK {
		return false
	}
	return !r.isStream() || strings.HasSuffix(r.body, "data: "+chat.Done+"\n\n")
}

// text returns the generated text of a chat answer.
func (r reply) text() string {
	if !r.isStream() {
		var d chat.Delta
		_ = json.Unmarshal([]byte(r.body), &d)
		if len(d.Choices) == 0 || d.Choices[0].Message == nil {
			return ""
		}
		return d.Choices[0].Message.Content
	}
	var b strings.Builder
	for rd := chat.NewReader(bytes.NewReader([]byte(r.body))); ; {
		e, err := rd.Next()
		if err != nil {
			return b.String()
		}
		if d, err := chat.ParseDelta(e.Data); err == nil && len(d.Choices) > 0 && d.Choices[0].Delta != nil {
			b.WriteString(d.Choices[0].Delta.Content)
		}
	}
}

// hasExpectedText reports whether the text is the complete answer to the caller's own request.
func (r reply) hasExpectedText() bool {
	req, err := chat.Parse([]byte(r.call.body))
	return err == nil && r.text() == engine.Answer(req)
}

// problem returns the problem document of a refused request or of the error event that ends a stream.
func (r reply) problem() (p fault.Problem) {
	text := r.body
	if _, after, ok := strings.Cut(text, "event: error\ndata: "); ok {
		text = after
	}
	_ = json.NewDecoder(strings.NewReader(text)).Decode(&p)
	return p
}

package engine

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/chat"
	"hickoryvane.example/core/ident"
)

type phase uint8

const (
	waiting phase = iota
	running
	finished
	cancelled
	lost // by a crash
)

// job is one request inside the engine. Its fields are guarded by Engine.mu.
type job struct {
	id            ident.RequestID
	model         string
	promptHash    uint64
	blocks        []ident.Block
	crashesEngine bool
	phase         phase
	// prompt and limit are the lengths of prompt and answer; cached is the part of prompt found in the cache.
	prompt, output, cached ident.Tokens
	// left is the part of the prompt still to be processed; made counts the tokens of the answer so far.
	remaining, produced ident.Tokens
	// changed is closed and replaced whenever made or phase changes.
	changed chan struct{}
}

func newJob(id ident.RequestID, r chat.Request) *job {
	p := r.Prompt()
	n := ident.EstimateTokens(len(p))
	return &job{
		id: id, model: r.Model, promptHash: xxhash.Sum64(p), blocks: ident.HashBlocks(p),
		prompt: n, remaining: n, output: r.ExpectedOutput(), changed: make(chan struct{}),
	}
}

// need is the KV memory reserved for the job; engines of this kind reserve the whole answer.
func (j *job) reservedKV() ident.Tokens { return j.prompt + j.output }

func (j *job) ended() bool { return j.phase >= finished }

func (j *job) broadcast() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func (j *job) end(p phase) {
	j.phase = p
	j.broadcast()
}

// ready returns the number of events that can be sent. Events 1 to limit carry one token each,
// limit+1 the usage, and limit+2 is the end mark.
func (j *job) eventsReady() ident.Seq {
	if j.phase == finished {
		return ident.Seq(j.output) + 2
	}
	return ident.Seq(j.produced)
}

// event returns event n, from 1.
func (j *job) event(n ident.Seq) chat.Event {
	e := chat.Event{ID: strconv.FormatUint(uint64(n), 10)}
	switch tokens := ident.Seq(j.output); {
	case n <= tokens:
		e.Data = j.delta(&chat.Message{Role: "assistant", Content: answerToken(j.promptHash, ident.Tokens(n-1))}, nil, nil)
	case n == tokens+1:
		stop := "stop"
		e.Data = j.delta(&chat.Message{}, &stop, j.usage())
	default:
		e.Data = []byte(chat.Done)
	}
	return e
}

func (j *job) delta(m *chat.Message, finish *string, u *chat.Usage) []byte {
	b, _ := json.Marshal(chat.Delta{ // these types always encode
		ID: string(j.id), Object: "chat.completion.chunk", Model: j.model,
		Choices: []chat.Choice{{Delta: m, FinishReason: finish}}, Usage: u,
	})
	return b
}

func (j *job) usage() *chat.Usage {
	return &chat.Usage{
		Prompt: j.prompt, Completion: j.output, Total: j.prompt + j.output,
		Details: &chat.Details{Cached: j.cached},
	}
}

// whole returns the answer of a request that is not streamed.
func (j *job) complete() chat.Delta {
	var text []byte
	for i := range j.output {
		text = append(text, answerToken(j.promptHash, i)...)
	}
	stop := "stop"
	return chat.Delta{
		ID: string(j.id), Object: "chat.completion", Model: j.model, Usage: j.usage(),
		Choices: []chat.Choice{{Message: &chat.Message{Role: "assistant", Content: string(text)}, FinishReason: &stop}},
	}
}

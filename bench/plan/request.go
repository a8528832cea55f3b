package plan

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"hickoryvane.example/core/chat"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
)

// resendDelay is the time after which an idempotent request is sent again. The first one usually still runs then.
const resendDelay = 200 * time.Millisecond

// Request is one request and the time at which it is sent, whether or not earlier ones were answered.
type Request struct {
	// At is the time from the start of the load.
	At      time.Duration
	Kind    string
	Account string
	Tier    string
	APIKey  string
	Method  string
	Path    string
	Body    []byte
	// Plain marks requests to plain services, whose answers are not streams.
	Plain    bool
	Deadline conf.Millis
	// Session names the caller's session, empty for none. The session value that a router returned last is sent as
	// X-Session.
	Session string
	// IdempotencyKey is empty for none.
	IdempotencyKey string
}

// Bounds limit the requests of a load and scale their rate.
type Bounds struct {
	MaxRequests int
	// Duration bounds the arrival times, counted from the start of the load.
	Duration time.Duration
	// RateScale multiplies all rates; zero means 1.
	RateScale float64
}

// Requests returns the requests of m in the order of their arrival. The same mix and bounds give the same list.
func (m *Mix) Requests(b Bounds) []Request {
	if b.RateScale == 0 {
		b.RateScale = 1
	}
	var all []Request
	for i, k := range m.Kinds {
		g := rand.New(rand.NewPCG(m.Seed, uint64(i)))
		n := 0
		for at := k.drawInterarrival(g, b.RateScale); at < b.Duration && n < b.MaxRequests; at += k.drawInterarrival(g, b.RateScale) {
			n++
			req := k.drawRequest(g, m, n)
			req.At = at
			all = append(all, req)
			if k.Idempotent && g.Float64() < k.ResendShare {
				req.At += resendDelay
				all = append(all, req)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return all[:min(len(all), b.MaxRequests)]
}

// drawInterarrival draws the time between two arrivals of a Poisson process.
func (k Kind) drawInterarrival(g *rand.Rand, scale float64) time.Duration {
	return time.Duration(g.ExpFloat64() / (k.RatePerSecond * scale) * float64(time.Second))
}

func (k Kind) drawRequest(g *rand.Rand, m *Mix, n int) Request {
	req := Request{
		Kind: k.Name, Account: k.Account, Tier: k.Tier, APIKey: k.APIKey, Deadline: k.Deadline,
		Method: http.MethodPost, Path: "/v1/chat/completions", Plain: k.Service != "",
	}
	if k.Sessions > 0 {
		req.Session = fmt.Sprintf("%s-%d", k.Name, g.IntN(k.Sessions))
	}
	if k.Idempotent {
		req.IdempotencyKey = fmt.Sprintf("%s-%d-%d", k.Name, m.Seed, n)
	}
	prompt := k.drawPrompt(g, m, req.Session)
	if req.Plain {
		req.Method, req.Path = k.Method, "/services/"+k.Service+k.Path
		req.Body = plainBody(prompt, k.Name, n)
		return req
	}
	req.Body = modelBody(k.Model, prompt, k.Output.draw(g))
	return req
}

// drawPrompt draws a prompt from the text. Prompts of one session start at the same offset, so that they share a prefix.
func (k Kind) drawPrompt(g *rand.Rand, m *Mix, session string) string {
	n := k.Prompt.draw(g)
	from := g.IntN(len(m.promptText))
	if session != "" {
		from = int(ident.RendezvousWeight(session, "text") % uint64(len(m.promptText)))
	}
	if g.Float64() >= k.PrefixShare {
		return excerpt(m.promptText, from, n)
	}
	common := min(k.PrefixTokens, n)
	start := int(ident.RendezvousWeight(k.Name, "prefix") % uint64(len(m.promptText)))
	return excerpt(m.promptText, start, common) + excerpt(m.promptText, from, n-common)
}

func modelBody(model, prompt string, output ident.Tokens) []byte {
	b, _ := json.Marshal(chat.Request{ // strings and numbers always encode
		Model: model, Stream: true, MaxTokens: max(1, output),
		Messages: []chat.Message{{Role: "user", Content: prompt}},
	})
	return b
}

func plainBody(prompt, kind string, n int) []byte {
	b, _ := json.Marshal(map[string]any{"kind": kind, "number": n, "text": prompt})
	return b
}

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

// resendDelay is the time after which a keyed request is sent again: while the first one usually still runs.
const resendDelay = 200 * time.Millisecond

// Shot is one request and the time at which it is sent, independent of earlier answers.
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
	// Plain is true for requests to plain services; their answers are not streams.
	Plain    bool
	Deadline conf.Millis
	// Session names the caller's session; the value that the router returned last is sent as X-Session.
	Session string
	// Idem is the Idempotency-Key, empty for none.
	IdempotencyKey string
}

// Bounds limit a plan.
type Bounds struct {
	// Count is the largest number of requests.
	MaxRequests int
	// Time is the end of arrivals.
	Duration time.Duration
	// Scale multiplies all rates; zero means 1.
	RateScale float64
}

// Shots returns the requests of m in the order of their arrival. The same mix and bounds give the same list.
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
			s := k.drawRequest(g, m, n)
			s.At = at
			all = append(all, s)
			if k.Idempotent && g.Float64() < k.ResendShare {
				s.At += resendDelay
				all = append(all, s)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return all[:min(len(all), b.MaxRequests)]
}

// gap draws the time between two arrivals of a Poisson process.
func (k Kind) drawInterarrival(g *rand.Rand, scale float64) time.Duration {
	return time.Duration(g.ExpFloat64() / (k.RatePerSecond * scale) * float64(time.Second))
}

func (k Kind) drawRequest(g *rand.Rand, m *Mix, n int) Request {
	s := Request{
		Kind: k.Name, Account: k.Account, Tier: k.Tier, APIKey: k.APIKey, Deadline: k.Deadline,
		Method: http.MethodPost, Path: "/v1/chat/completions", Plain: k.Service != "",
	}
	if k.Sessions > 0 {
		s.Session = fmt.Sprintf("%s-%d", k.Name, g.IntN(k.Sessions))
	}
	if k.Idempotent {
		s.IdempotencyKey = fmt.Sprintf("%s-%d-%d", k.Name, m.Seed, n)
	}
	prompt := k.drawPrompt(g, m, s.Session)
	if s.Plain {
		s.Method, s.Path = k.Method, "/services/"+k.Service+k.Path
		s.Body = plainBody(prompt, k.Name, n)
		return s
	}
	s.Body = modelBody(k.Model, prompt, k.Output.draw(g))
	return s
}

// prompt cuts a prompt from the texts. Requests of one session start at the same place, so they share a prefix.
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

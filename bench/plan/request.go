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
type Shot struct {
	// At is the time from the start of the load.
	At      time.Duration
	Kind    string
	Account string
	Tier    string
	Key     string
	Method  string
	Path    string
	Body    []byte
	// Plain is true for requests to plain services; their answers are not streams.
	Plain    bool
	Deadline conf.Millis
	// Session names the caller's session; the value that the router returned last is sent as X-Session.
	Session string
	// Idem is the Idempotency-Key, empty for none.
	Idem string
}

// Bounds limit a plan.
type Bounds struct {
	// Count is the largest number of requests.
	Count int
	// Time is the end of arrivals.
	Time time.Duration
	// Scale multiplies all rates; zero means 1.
	Scale float64
}

// Shots returns the requests of m in the order of their arrival. The same mix and bounds give the same list.
func (m *Mix) Shots(b Bounds) []Shot {
	if b.Scale == 0 {
		b.Scale = 1
	}
	var all []Shot
	for i, k := range m.Kinds {
		g := rand.New(rand.NewPCG(m.Seed, uint64(i)))
		n := 0
		for at := k.gap(g, b.Scale); at < b.Time && n < b.Count; at += k.gap(g, b.Scale) {
			n++
			s := k.shot(g, m, n)
			s.At = at
			all = append(all, s)
			if k.Keyed && g.Float64() < k.Resend {
				s.At += resendDelay
				all = append(all, s)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Shot) int { return cmp.Compare(a.At, b.At) })
	return all[:min(len(all), b.Count)]
}

// gap draws the time between two arrivals of a Poisson process.
func (k Kind) gap(g *rand.Rand, scale float64) time.Duration {
	return time.Duration(g.ExpFloat64() / (k.Rate * scale) * float64(time.Second))
}

func (k Kind) shot(g *rand.Rand, m *Mix, n int) Shot {
	s := Shot{
		Kind: k.Name, Account: k.Account, Tier: k.Tier, Key: k.Key, Deadline: k.Deadline,
		Method: http.MethodPost, Path: "/v1/chat/completions", Plain: k.Service != "",
	}
	if k.Sessions > 0 {
		s.Session = fmt.Sprintf("%s-%d", k.Name, g.IntN(k.Sessions))
	}
	if k.Keyed {
		s.Idem = fmt.Sprintf("%s-%d-%d", k.Name, m.Seed, n)
	}
	prompt := k.prompt(g, m, s.Session)
	if s.Plain {
		s.Method, s.Path = k.Method, "/services/"+k.Service+k.Path
		s.Body = plainBody(prompt, k.Name, n)
		return s
	}
	s.Body = modelBody(k.Model, prompt, k.Output.draw(g))
	return s
}

// prompt cuts a prompt from the texts. Requests of one session start at the same place, so they share a prefix.
func (k Kind) prompt(g *rand.Rand, m *Mix, session string) string {
	n := k.Prompt.draw(g)
	from := g.IntN(len(m.text))
	if session != "" {
		from = int(ident.Rendezvous(session, "text") % uint64(len(m.text)))
	}
	if g.Float64() >= k.Shared {
		return cut(m.text, from, n)
	}
	common := min(k.Prefix, n)
	start := int(ident.Rendezvous(k.Name, "prefix") % uint64(len(m.text)))
	return cut(m.text, start, common) + cut(m.text, from, n-common)
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

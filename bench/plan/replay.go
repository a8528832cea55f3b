package plan

import (
	"cmp"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/trace"
)

// ReadTrace returns the arrivals of a trace as requests. keys are the keys of the accounts by name; an
// account that is not listed gets the key "key-" followed by its name. Events other than arrivals and bursts
// concern the engines, and are left out.
func ReadTrace(name string, keys map[string]string, b Bounds) (shots []Request, err error) {
	defer func() { err = errors.WithMessagef(err, "read %s", name) }()
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	t, err := trace.Read(f)
	if err != nil {
		return nil, err
	}
	tiers := map[ident.Tier]conf.Tier{}
	for _, x := range t.Header.Tiers {
		tiers[x.Rank] = x
	}
	scale := cmp.Or(b.RateScale, 1)
	for _, e := range t.Arrivals() {
		s := arrivalRequest(e, tiers[e.Tier], keys)
		if s.At = time.Duration(float64(e.At.Duration()) / scale); s.At < b.Duration {
			shots = append(shots, s)
		}
	}
	slices.SortStableFunc(shots, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return shots[:min(len(shots), b.MaxRequests)], nil
}

func arrivalRequest(e trace.Event, tier conf.Tier, keys map[string]string) Request {
	text := []byte(defaultText)
	start := func(name string) int { return int(ident.RendezvousWeight(name, "text") % uint64(len(text))) }
	// The number makes prompts differ after the common prefix.
	prompt := excerpt(text, start(e.Prefix), e.Shared) + fmt.Sprintf("%s ", e.ID) + excerpt(text, start(string(e.ID)), e.Prompt-e.Shared)
	return Request{
		Kind: string(e.Route), Account: string(e.Account), Tier: tier.Name, Deadline: cmp.Or(e.Deadline, tier.Wait), Session: e.Session,
		APIKey: cmp.Or(keys[string(e.Account)], "key-"+string(e.Account)),
		Method: http.MethodPost, Path: "/v1/chat/completions",
		Body: modelBody(string(e.Service), prompt, e.Output),
	}
}

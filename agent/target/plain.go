package target

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

// ErrUnsupported means that the target has no such call.
var ErrUnsupported = errors.New("target does not support the call")

// Plain is a plain service.
type Plain struct {
	base string
	// kept uses connections again, fresh does not. A connection that the service closes while it is idle
	// would make the outcome of a non-idempotent call unknown.
	reused, fresh http.RoundTripper
}

// NewPlain returns the plain service at addr (IP number and port).
func NewPlain(addr string) *Plain {
	return &Plain{base: "http://" + addr, reused: newTransport(true), fresh: newTransport(false)}
}

// Run implements Target.
func (p *Plain) Run(ctx context.Context, r Request, emit func(Part)) Outcome {
	rt := p.fresh
	if r.Idempotent {
		rt = p.reused
	}
	res, out := send(ctx, rt, p.base, r)
	if res == nil {
		return out
	}
	defer func() { _ = res.Body.Close() }()
	return copyParts(res, emit)
}

// Resume implements Target; a plain service keeps no answers.
func (*Plain) Resume(context.Context, ident.RequestID, func(Part)) (Outcome, bool) {
	return Outcome{Run: fault.Unknown, Reason: fault.Gone}, false
}

// Cancel implements Target; a plain call ends by itself.
func (*Plain) Cancel(context.Context, ident.RequestID) error { return nil }

// Probe implements Target.
func (p *Plain) Probe(ctx context.Context) error { return probe(ctx, p.reused, p.base) }

// Order implements Target.
func (*Plain) SendCommand(context.Context, Command) error { return ErrUnsupported }

func probe(ctx context.Context, rt http.RoundTripper, base string) (err error) {
	defer func() { err = errors.WithMessage(err, "probe target") }()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/healthz", nil)
	if err != nil {
		return err
	}
	res, err := rt.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", res.StatusCode)
	}
	return nil
}

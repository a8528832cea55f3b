package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// lineMax is the largest line of a trace in bytes.
const lineBytesMax = 1 << 20

// ErrFormat means that a trace is malformed.
var ErrFormat = errors.New("malformed trace")

// Read reads and checks a trace. Errors wrap ErrFormat and name the line.
func Read(r io.Reader) (t *Trace, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, lineBytesMax)
	t = &Trace{}
	for n := 1; s.Scan(); n++ {
		if n == 1 {
			err = decodeLine(s.Bytes(), &t.Header)
		} else {
			var e Event
			err = decodeLine(s.Bytes(), &e)
			t.Events = append(t.Events, e)
		}
		if err != nil {
			return nil, errors.WithMessagef(err, "line %d", n)
		}
	}
	if err = s.Err(); err != nil {
		return nil, errors.Wrap(ErrFormat, err.Error())
	}
	return t, t.check()
}

func decodeLine(line []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errors.Wrap(ErrFormat, err.Error())
	}
	return nil
}

// Write writes the trace so that Read returns an equal one.
func (t *Trace) Write(w io.Writer) (err error) {
	defer func() { err = errors.WithMessage(err, "write trace") }()
	b := bufio.NewWriter(w)
	e := json.NewEncoder(b)
	if err = e.Encode(t.Header); err != nil {
		return err
	}
	for i := range t.Events {
		if err = e.Encode(&t.Events[i]); err != nil {
			return err
		}
	}
	return b.Flush()
}

func (t *Trace) check() error {
	h := &t.Header
	switch {
	case h.FormatVersion != FormatVersion:
		return errors.Wrapf(ErrFormat, "format %d, not %d", h.FormatVersion, FormatVersion)
	case len(h.Targets) == 0 || len(h.Routers) == 0:
		return errors.Wrap(ErrFormat, "no targets or no routers")
	case h.ReportInterval <= 0:
		return errors.Wrap(ErrFormat, "report is not above 0")
	}
	for _, x := range h.Targets {
		c, ok := h.class(x.Class)
		if !ok || c.PrefillTokensPerSecond <= 0 || c.ChunkMax <= 0 || c.StepMillis <= 0 || c.BatchMax <= 0 {
			return errors.Wrapf(ErrFormat, "target %q has no class with speeds", x.Name)
		}
		if h.region(x.Centre) == "" {
			return errors.Wrapf(ErrFormat, "target %q is in no region", x.Name)
		}
	}
	return t.checkEvents()
}

func (t *Trace) checkEvents() error {
	routers, targets := map[string]bool{}, map[string]bool{"": true}
	for _, r := range t.Header.Routers {
		routers[string(r.Name)] = true
	}
	for _, x := range t.Header.Targets {
		targets[string(x.Name)] = true
	}
	for i, e := range t.Events {
		if err := e.check(routers, targets); err != nil {
			return errors.WithMessagef(err, "line %d", i+2)
		}
		if i > 0 && e.At < t.Events[i-1].At {
			return errors.Wrapf(ErrFormat, "line %d: at is not in order", i+2)
		}
	}
	return nil
}

func (e *Event) check(routers, targets map[string]bool) error {
	if !targets[string(e.Target)] {
		return errors.Wrapf(ErrFormat, "unknown target %q", e.Target)
	}
	switch e.Kind {
	case Arrival, Burst:
		if !routers[string(e.Router)] || e.ID == "" || e.Prompt <= 0 || e.Output <= 0 || e.Shared > e.Prompt {
			return errors.Wrap(ErrFormat, "an arrival needs id, known router, prompt and output, and shared within prompt")
		}
	case Slowdown, Crash, CacheDelay, CacheLoss:
		if e.Target == "" {
			return errors.Wrapf(ErrFormat, "%s needs a target", e.Kind)
		}
	case Rollout:
		if e.Name == "" || e.Service == "" || e.From == e.To || e.Deadline <= 0 {
			return errors.Wrap(ErrFormat, "a move needs name, service, two versions and a deadline")
		}
	case ReportDelay, StoreOutage:
	default:
		return errors.Wrapf(ErrFormat, "unknown event %q", e.Kind)
	}
	return nil
}

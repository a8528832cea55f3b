package direct

import (
	"io"
	"time"

	"hickoryvane.example/core/budget"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/poison"
)

// Memory exposes the limit of the memory for bodies to benchmarks.
type Memory struct{ *budget.Budget }

// NewMemory returns the limit of a process with the given memory.
func NewMemory(megabytes float64) Memory { return Memory{budget.New(megabytes*(1<<20), 0)} }

// ReadBody reads a body of the declared length and gives its memory back.
func (m Memory) ReadBody(r io.Reader, declared, limit int64) (size int64, err error) {
	b, err := m.NewBody("a", declared)
	if err != nil {
		return 0, err
	}
	defer b.Release()
	err = b.Fill(r, declared, limit)
	return b.Size, err
}

// Hold reads a body of the given size and keeps it.
func (m Memory) Hold(a ident.AccountID, size int64) error {
	b, err := m.NewBody(a, size)
	if err != nil {
		return err
	}
	if err = b.Fill(io.LimitReader(zeros{}, size), size, size); err != nil {
		b.Release()
	}
	return err
}

// zeros is a reader without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// AskForTrial lets one request, which was running when two targets crashed, ask for its turn at the given times, as it does
// before each placement, and returns whether it had it.
func (r *Router) AskForTrial(times ...time.Time) (granted []bool) {
	c := &call{service: "s", features: []ident.Fingerprint{1}, arrived: times[0]}
	for _, t := range []ident.TargetID{"t1", "t2"} {
		r.poison.RecordCrash(poison.Crash{Target: t, At: times[0].Add(-time.Minute), Requests: []poison.Request{{Features: c.features}}})
	}
	for _, at := range times {
		ok, _ := r.beginTrial(at, c)
		granted = append(granted, ok)
	}
	return granted
}

// AllowRetry asks the retry budget of a service for one retry.
func (r *Router) AllowRetry(s ident.Service) bool { return r.allowRetry(time.Now(), s) }

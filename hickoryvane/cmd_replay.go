package main

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"hickoryvane.example/core/trace"
	"hickoryvane.example/core/trace/chart"
)

// errMissed means that a replay missed stated outcomes, which were printed.
var errOutcomesMissed = errors.New("stated outcomes were missed")

// replayVerb replays a trace through the state machines in virtual time.
func replayCommand(t *tool, fs *ff.FlagSet) func(context.Context, []string) error {
	names := make([]string, 0, len(trace.Policies))
	for _, p := range trace.Policies {
		names = append(names, string(p))
	}
	policy := fs.StringEnumLong("policy", "policy: "+strings.Join(names, ", "), names...)
	dir := fs.StringLong("report", "", "write a table and plots into this directory")
	return func(_ context.Context, args []string) error {
		name, err := singleArg(args, "trace")
		if err != nil {
			return err
		}
		return replay(t.out, name, trace.Policy(*policy), *dir)
	}
}

// replay prints the result; the stated outcomes hold for the product's policy only.
func replay(out io.Writer, name string, p trace.Policy, dir string) (err error) {
	defer func() { err = errors.WithMessagef(err, "replay %s", name) }()
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	t, err := trace.Read(f)
	if err != nil {
		return err
	}
	r, err := trace.Replay(t, p)
	if err != nil {
		return err
	}
	if err = t.Header.WriteTables(out, r); err != nil {
		return err
	}
	if dir != "" {
		if err = chart.Write(dir, &t.Header, r); err != nil {
			return err
		}
	}
	if n := len(t.Header.Missed(r)); p == trace.LateBinding && n > 0 {
		return errors.WithMessagef(errOutcomesMissed, "%d of %d", n, len(t.Header.Expectations))
	}
	return nil
}

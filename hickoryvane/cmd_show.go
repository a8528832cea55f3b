package main

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/store"
)

var errNoAnswer = errors.New("no process answers")

func showCommand(t *tool, fs *ff.FlagSet) func(context.Context, []string) error {
	t.addSettings(fs)
	return func(ctx context.Context, args []string) (err error) {
		if err = noArgs(args); err != nil {
			return err
		}
		set, err := t.readSettings()
		if err != nil {
			return err
		}
		fmt.Fprintln(t.out, describeAccepted(ctx, t.openStore(set.Store)))
		reports := fetchStatuses(ctx, set.Processes)
		t.printStatuses(reports)
		if len(answeredStatuses(reports)) == 0 {
			return errNoAnswer
		}
		return nil
	}
}

// accepted says in one line which configuration the object API holds.
func describeAccepted(ctx context.Context, s store.Store) string {
	o, err := s.Get(ctx, conf.ConfigKind, conf.ConfigName)
	if errors.Is(err, store.ErrNotFound) {
		return "no configuration is accepted"
	}
	var cfg conf.Config
	if err == nil {
		cfg, err = conf.Decode(o.Value)
	}
	if err != nil {
		return "accepted generation is unknown: " + err.Error()
	}
	return fmt.Sprintf("%s: generation %d is accepted", cfg.Deployment, cfg.Generation)
}

func (t *tool) printStatuses(reports []statusReport) {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ADDRESS\tPROCESS\tROLE\tCENTRE\tGENERATION\tREADY\tSTARTED")
	for _, r := range reports {
		if r.err != nil {
			fmt.Fprintf(w, "%s\tdoes not answer: %v\n", r.addr, r.err)
			continue
		}
		s := r.status
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%t\t%s\n", r.addr, s.Process, s.Role, s.Centre, s.Generation, s.Ready, formatTime(time.Unix(0, int64(s.Boot))))
	}
	_ = w.Flush() // the output is a terminal or a pipe whose reader may be gone
}

// stamp returns t in the form used in all tables, or "-" for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

package main

import (
	"context"
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v4"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/store"
)

func movesCommand(t *tool, fs *ff.FlagSet) func(context.Context, []string) error {
	t.addSettings(fs)
	return func(ctx context.Context, args []string) (err error) {
		if err = noArgs(args); err != nil {
			return err
		}
		set, err := t.readSettings()
		if err != nil {
			return err
		}
		records, serr := recordedRollouts(ctx, t.openStore(set.Store))
		if serr != nil {
			fmt.Fprintln(t.out, "records of ended moves are unknown:", serr)
		}
		statuses := answeredStatuses(fetchStatuses(ctx, set.Processes))
		t.printRollouts(records, processRollouts(statuses))
		if serr != nil && len(statuses) == 0 {
			return errNoAnswer
		}
		return nil
	}
}

// recorded returns the moves that the object API records.
func recordedRollouts(ctx context.Context, s store.Store) (list []conf.RolloutStatus, err error) {
	objects, _, err := s.List(ctx, moves.ObjectKind)
	if err != nil {
		return nil, err
	}
	for _, o := range objects {
		e, err := moves.DecodeConclusion(o.Value)
		if err != nil {
			return list, err
		}
		list = append(list, conf.RolloutStatus{
			Name: e.Rollout, Service: e.Service, State: conf.RolloutState(e.State), Reason: string(e.Reason), Ended: e.DecidedAt, Recorded: true,
		})
	}
	return list, nil
}

// stated returns the moves that processes know.
func processRollouts(statuses []conf.Status) (list []conf.RolloutStatus) {
	for _, s := range statuses {
		list = append(list, s.Rollouts...)
	}
	return list
}

func (t *tool) printRollouts(records, states []conf.RolloutStatus) {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MOVE\tSERVICE\tFROM\tTO\tSTATE\tSHARE\tRECORDED\tBEGAN\tENDED\tREASON")
	// The records come first, so that a recorded end prevails over what processes state.
	for _, m := range conf.MergeStatuses(append(slices.Clone(records), states...)) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.0f%%\t%t\t%s\t%s\t%s\n", m.Name, m.Service, m.From, m.To, m.State,
			100*m.Share, m.Recorded, formatTime(m.Began), formatTime(m.Ended), m.Reason)
	}
	_ = w.Flush() // the output is a terminal or a pipe whose reader may be gone
}

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
		settings, err := t.readSettings()
		if err != nil {
			return err
		}
		records, storeErr := recordedRollouts(ctx, t.openStore(settings.Store))
		if storeErr != nil {
			fmt.Fprintln(t.out, "records of ended moves are unknown:", storeErr)
		}
		statuses := answeredStatuses(fetchStatuses(ctx, settings.Processes))
		t.printRollouts(records, processRollouts(statuses))
		if storeErr != nil && len(statuses) == 0 {
			return errNoAnswer
		}
		return nil
	}
}

// recordedRollouts returns the concluded rollouts that are recorded in the object API.
func recordedRollouts(ctx context.Context, s store.Store) (list []conf.RolloutStatus, err error) {
	objects, _, err := s.List(ctx, moves.ObjectKind)
	if err != nil {
		return nil, err
	}
	for _, o := range objects {
		conclusion, err := moves.DecodeConclusion(o.Value)
		if err != nil {
			return list, err
		}
		list = append(list, conf.RolloutStatus{
			Name: conclusion.Rollout, Service: conclusion.Service, State: conf.RolloutState(conclusion.State),
			Reason: string(conclusion.Reason), EndedAt: conclusion.DecidedAt, Recorded: true,
		})
	}
	return list, nil
}

// processRollouts returns the rollouts that the processes report.
func processRollouts(statuses []conf.Status) (list []conf.RolloutStatus) {
	for _, s := range statuses {
		list = append(list, s.Rollouts...)
	}
	return list
}

func (t *tool) printRollouts(records, states []conf.RolloutStatus) {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MOVE\tSERVICE\tFROM\tTO\tSTATE\tSHARE\tRECORDED\tBEGAN\tENDED\tREASON")
	// The records come first so that a recorded conclusion takes precedence over the state reported by processes.
	for _, m := range conf.MergeStatuses(append(slices.Clone(records), states...)) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.0f%%\t%t\t%s\t%s\t%s\n", m.Name, m.Service, m.From, m.To, m.State,
			100*m.Share, m.Recorded, formatTime(m.StartedAt), formatTime(m.EndedAt), m.Reason)
	}
	_ = w.Flush() // the reader of the terminal or pipe may have closed it
}

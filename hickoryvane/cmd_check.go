package main

import (
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/lint"
	"hickoryvane.example/core/store"
)

const (
	// readTimeout bounds the read of the accepted declarations. The object API answers in milliseconds.
	readTimeout = 5 * time.Second
	// acceptedName stands for the declarations in the object API in reports.
	acceptedName = "the accepted declarations"
)

// faultCount is the error for declarations with errors that have been printed.
type faultCount int

func (n faultCount) Error() string { return fmt.Sprintf("%d faults; nothing was applied", int(n)) }

func checkCommand(t *tool, fs *ff.FlagSet) func(context.Context, []string) error {
	t.addSettings(fs)
	asJSON := fs.Bool('j', "json", "print the report as JSON")
	against := fs.String('a', "against", "", "folder with the declarations to compare with")
	active := fs.Bool(0, "active", "compare with the accepted declarations in the object API")
	return func(ctx context.Context, args []string) (err error) {
		dir, err := singleArg(args, "folder")
		if err != nil {
			return err
		}
		if *active && *against != "" {
			return errors.Wrap(errUsage, "--against and --active exclude each other")
		}
		cfg, r := checkDeclarations(dir)
		switch {
		case *against != "":
			err = compareWithFolder(r, cfg, *against)
		case *active:
			err = t.compareWithAccepted(ctx, r, cfg)
		}
		if err != nil {
			return errors.WithMessage(err, "compare")
		}
		if err = r.Write(t.out, *asJSON); err != nil {
			return err
		}
		if r.Failed() {
			return faultCount(r.Errors)
		}
		if !*asJSON {
			fmt.Fprintf(t.out, "%s: no faults; %d accounts, %d tiers, %d services, %d targets, %d moves\n", cfg.Deployment,
				len(cfg.Accounts), len(cfg.Tiers), len(cfg.Services), len(cfg.Targets), len(cfg.Rollouts))
		}
		return nil
	}
}

func checkDeclarations(dir string) (conf.Config, *lint.Report) {
	cfg, positions, problems := conf.LoadWithPositions(dir)
	found := lint.Invalids(problems)
	if len(problems) == 0 {
		found = lint.Declared(cfg, positions.Locate)
	}
	return cfg, lint.NewReport(dir, found)
}

// compareWithFolder adds the changes since the declarations in a folder, which must be without faults.
func compareWithFolder(r *lint.Report, cfg conf.Config, dir string) error {
	before, problems := conf.Load(dir)
	if len(problems) > 0 {
		return errors.Errorf("%d faults in %s, the first is: %v", len(problems), dir, problems[0])
	}
	r.Compare(dir, lint.DeclaredChanges(before, cfg))
	return nil
}

func (t *tool) compareWithAccepted(ctx context.Context, r *lint.Report, cfg conf.Config) error {
	settings, err := t.readSettings()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	o, err := t.openStore(settings.Store).Get(ctx, conf.ConfigKind, conf.ConfigName)
	var before conf.Config
	switch {
	case errors.Is(err, store.ErrNotFound): // everything is new
	case err != nil:
		return err
	default:
		if before, err = conf.Decode(o.Value); err != nil {
			return err
		}
	}
	r.Compare(acceptedName, lint.DeclaredChanges(before, cfg))
	return nil
}

package launch

import (
	"context"
	"io"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v4"

	"hickoryvane.example/core/conf"
)

// Serve defines the flags that all daemons take, and returns the function that reads the settings and calls run
// with them, their file and the least level of log lines. Faults of the settings are printed to stderr.
func DaemonExec[S conf.Settings](fs *ff.FlagSet, stderr io.Writer, settings string, run func(ctx context.Context, file string, cfg S, least log.Level) error) func(context.Context, []string) error {
	file := fs.String('s', "settings", settings, "file with the settings")
	level := fs.StringEnum('l', "level", "least level of log lines", "info", "debug", "warn", "error")
	return func(ctx context.Context, _ []string) error {
		cfg, problems := conf.ReadSettings[S](*file)
		if err := PrintProblems(stderr, problems); err != nil {
			return err
		}
		least, err := log.ParseLevel(*level)
		if err != nil {
			return err
		}
		return run(ctx, *file, cfg, least)
	}
}

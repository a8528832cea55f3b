package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"
)

const (
	// around is the time before and after a request's own lines in which lines of its targets and of the
	// store count. Targets rest for at most 2 s, and an outage is noticed within 3 s.
	contextTime = 5 * time.Second
	// lineMax bounds one line of a log, in bytes.
	lineBytesMax = 1 << 20
)

// errNoStory means that no line of the logs names the request.
var errRequestNotFound = errors.New("no line names the request")

// entry is one line of a log.
type logEntry struct {
	at   time.Time
	text string
	// id, target and event are the fields of those names.
	id, target, event string
}

// storyVerb prints what the logs of all processes say of one request, in the order of time: its own lines,
// and those about its targets and the store around them.
func storyCommand(t *tool, _ *ff.FlagSet) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if len(args) < 2 {
			return errors.Wrap(errUsage, "need the id of a request and at least one log file")
		}
		return printStory(t.out, args[0], args[1:])
	}
}

func printStory(out io.Writer, id string, names []string) (err error) {
	defer func() { err = errors.WithMessagef(err, "story of %s", id) }()
	var all []logEntry
	for _, name := range names {
		l, err := readLog(name)
		if err != nil {
			return err
		}
		all = append(all, l...)
	}
	slices.SortStableFunc(all, func(a, b logEntry) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.text, b.text)) })
	targets := map[string]bool{}
	var first, last time.Time
	for _, e := range all {
		if e.id != id {
			continue
		}
		if first.IsZero() {
			first = e.at
		}
		last = e.at
		targets[e.target] = e.target != ""
	}
	if first.IsZero() {
		return errRequestNotFound
	}
	for _, e := range all {
		near := e.id == "" && e.at.After(first.Add(-contextTime)) && e.at.Before(last.Add(contextTime))
		if e.id == id || near && (targets[e.target] || strings.HasPrefix(e.event, "30")) {
			if _, err = fmt.Fprintln(out, e.text); err != nil {
				return err
			}
		}
	}
	return nil
}

// readLog reads the lines of a file that are in logfmt, possibly behind a prefix.
func readLog(name string) (out []logEntry, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened for reading
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, lineBytesMax)
	for sc.Scan() {
		if e, ok := parseLine(sc.Text()); ok {
			out = append(out, e)
		}
	}
	return out, sc.Err()
}

// parse reads one line; ok is false for lines of other programs.
func parseLine(line string) (e logEntry, ok bool) {
	i := strings.Index(line, "time=")
	if i < 0 {
		return e, false
	}
	e.text = strings.TrimSpace(line)
	d := logfmt.NewDecoder(strings.NewReader(line[i:]))
	if !d.ScanRecord() {
		return e, false
	}
	for d.ScanKeyval() {
		v := string(d.Value())
		switch string(d.Key()) {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, v)
			if err != nil {
				return e, false
			}
			e.at = at
		case "id":
			e.id = v
		case "target":
			e.target = v
		case "event":
			e.event = v
		}
	}
	return e, d.Err() == nil && !e.at.IsZero()
}

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
	// contextTime is the time before the first and after the last line of a request within which lines about its
	// targets, the configuration and the store are included. A target that fails gets no requests for at most 2 s, and
	// an outage is detected within 3 s.
	contextTime = 5 * time.Second
	// lineBytesMax is the maximum length of a log line.
	lineBytesMax = 1 << 20
)

// errRequestNotFound is returned when no line of the logs names the request.
var errRequestNotFound = errors.New("no line names the request")

// logEntry is one line of a log.
type logEntry struct {
	at   time.Time
	text string
	// id, target and event are the values of the logfmt fields with these keys.
	id, target, event string
}

// storyCommand prints the log lines of all processes that concern one request, in the order of time: the lines that
// name it, and lines about its targets, the configuration and the store within contextTime of them.
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
	var entries []logEntry
	for _, name := range names {
		logEntries, err := readLog(name)
		if err != nil {
			return err
		}
		entries = append(entries, logEntries...)
	}
	slices.SortStableFunc(entries, func(a, b logEntry) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.text, b.text)) })
	targets := map[string]bool{}
	var first, last time.Time
	for _, e := range entries {
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
	for _, e := range entries {
		inContext := e.id == "" && e.at.After(first.Add(-contextTime)) && e.at.Before(last.Add(contextTime))
		if e.id == id || inContext && (targets[e.target] || strings.HasPrefix(e.event, "30")) { // 30x: configuration and store
			if _, err = fmt.Fprintln(out, e.text); err != nil {
				return err
			}
		}
	}
	return nil
}

// readLog reads the logfmt lines of a file. Each may have a prefix.
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

// parseLine parses a log line; ok is false for lines that are not in the format of the product's logs.
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

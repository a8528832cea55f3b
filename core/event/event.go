// Package event defines the numbered log events and the logger that writes them.
// Every line of a daemon's log is one of these events; docs/EVENTS.md is their catalogue.
package event

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// ID is the number of a log event. A number is never reused for another meaning.
type ID int

// Kind describes one event.
type Kind struct {
	ID    ID
	Level log.Level
	// Text is the fixed message; values travel as key and value pairs.
	Text string
}

// Logger writes numbered events.
type Logger struct{ l *log.Logger }

// New returns a logger that writes structured lines to w.
func New(w io.Writer, level log.Level) *Logger {
	l := log.NewWithOptions(w, log.Options{
		Level:           level,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Formatter:       log.LogfmtFormatter,
	})
	return &Logger{l: l}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return New(io.Discard, log.FatalLevel) }

// With returns a logger that adds the given pairs to each line.
func (l *Logger) With(pairs ...any) *Logger { return &Logger{l: l.l.With(pairs...)} }

// Log writes one event with its values.
func (l *Logger) Log(id ID, pairs ...any) {
	k := kindsByID[id]
	l.l.Log(k.Level, k.Text, append([]any{"event", int(id)}, pairs...)...)
}

// Kinds returns all events in the order of their numbers.
func Kinds() []Kind {
	out := make([]Kind, 0, len(kindList))
	return append(out, kindList...)
}

var kindsByID = indexKinds()

func indexKinds() map[ID]Kind {
	m := make(map[ID]Kind, len(kindList))
	for _, k := range kindList {
		m[k.ID] = k
	}
	return m
}

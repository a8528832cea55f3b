package lint

import (
	"encoding/json"
	"fmt"
	"io"

	"hickoryvane.example/core/conf"
)

// Report is the result of a check.
type Report struct {
	// Name is the file or folder that was checked.
	Name string `json:"name"`
	// Errors and Warnings are the numbers of Problems by severity.
	Errors   int       `json:"errors"`
	Warnings int       `json:"warnings"`
	Problems []Problem `json:"problems"`
	// Unchecked names what could not be checked without further input.
	Unchecked []string `json:"unchecked"`
	// Against is the version that Changes refer to; empty if there was no comparison.
	Against string        `json:"against,omitempty"`
	Changes []conf.Change `json:"changes"`
}

// NewReport returns a report without comparison.
func NewReport(name string, problems []Problem) *Report {
	// Lists are never null in JSON.
	r := &Report{Name: name, Problems: append([]Problem{}, problems...), Unchecked: []string{}, Changes: []conf.Change{}}
	Sort(r.Problems)
	for _, p := range r.Problems {
		if p.Severity == Error {
			r.Errors++
		} else {
			r.Warnings++
		}
	}
	return r
}

// Compare adds the changes since another version.
func (r *Report) Compare(against string, changes []conf.Change) {
	r.Against, r.Changes = against, append(r.Changes, changes...)
}

// Failed reports whether the configuration must not be sent.
func (r *Report) Failed() bool { return r.Errors > 0 }

// Write writes the report as JSON, or as text without the Summary.
func (r *Report) Write(w io.Writer, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		e.SetEscapeHTML(false)
		return e.Encode(r)
	}
	_, err := io.WriteString(w, r.text())
	return err
}

func (r *Report) text() (s string) {
	for _, p := range r.Problems {
		s += p.String() + "\n"
	}
	for _, u := range r.Unchecked {
		s += "not checked: " + u + "\n"
	}
	switch {
	case r.Against != "" && len(r.Changes) == 0:
		s += "same meaning as " + r.Against + "\n"
	case r.Against != "":
		s += "changes since " + r.Against + ":\n"
	}
	for _, c := range r.Changes {
		s += "  " + c.String() + "\n"
	}
	return s
}

// Summary returns the numbers of problems as one line without its end.
func (r *Report) Summary() string {
	return fmt.Sprintf("%s: %s, %s", r.Name, count(r.Errors, "error"), count(r.Warnings, "warning"))
}

func count(n int, word string) string {
	if n != 1 {
		word += "s"
	}
	return fmt.Sprintf("%d %s", n, word)
}

// Package lint finds what is wrong in a configuration before it is sent: malformed values, entries that can never match
// and limits that contradict each other. It also compares two configurations by meaning. It works on the routing tables
// of routers without agents (package route) and on the declarations of package conf, and does no input or output
// except for reports.
package lint

import (
	"cmp"
	"slices"

	"hickoryvane.example/core/conf"
)

// Severity is the weight of a problem. Only errors fail a check.
type Severity string

// Severities.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Rule is the kind of a problem.
type Rule string

// Rules.
const (
	// Invalid is for values that are malformed, out of range or refer to something that is not declared.
	Invalid Rule = "invalid"
	// Unreachable is for entries that no request can ever match or use.
	Unreachable Rule = "unreachable"
	// Contradiction is for limits that cannot apply together.
	Contradiction Rule = "contradiction"
	// Unread is for keys that this product does not read.
	Unread Rule = "unread"
)

// Problem is one fault in a configuration.
type Problem struct {
	Severity Severity `json:"severity"`
	Rule     Rule     `json:"rule"`
	conf.Problem
}

// String returns the form shown to operators: file:line: key: text, with "warning: " before the text of a warning.
func (p Problem) String() string {
	q := p.Problem
	if p.Severity == Warning {
		q.Text = "warning: " + q.Text
	}
	return q.String()
}

// Invalids returns problems of package conf as errors.
func Invalids(list []conf.Problem) []Problem {
	out := make([]Problem, 0, len(list))
	for _, p := range list {
		out = append(out, Problem{Severity: Error, Rule: Invalid, Problem: p})
	}
	return out
}

// Sort sorts problems by file and line. Problems of one line stay in their order.
func Sort(list []Problem) {
	slices.SortStableFunc(list, func(a, b Problem) int { return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line)) })
}

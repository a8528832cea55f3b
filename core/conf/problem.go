package conf

import (
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
)

// Problem is one fault in declarations or settings.
type Problem struct {
	// File is the name of the file; empty when the fault was found in a merged configuration.
	File string `json:"file,omitempty"`
	// Line is the line of the key in File, from 1; zero if unknown.
	Line int `json:"line,omitempty"`
	// Key is the path of the key, for example "accounts[north].keys[0]".
	Key  string `json:"key"`
	Text string `json:"text"`
}

// String returns the form shown to operators: file:line: key: text.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
		if p.Line > 0 {
			fmt.Fprintf(&b, "%d:", p.Line)
		}
		b.WriteByte(' ')
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Text)
	return b.String()
}

// place is the position of a key in a file.
type position struct {
	file string
	line int
}

// report collects problems; places maps the path of each key to its position.
type report struct {
	positions map[string]position
	problems  []Problem
	// broken holds the keys with faults of their own, which are not checked against others.
	faulty map[string]bool
	// types holds the fields of struct types, because parsing tags for every entry takes most of a check.
	typeFields map[reflect.Type][]Field
}

func newReport() *report {
	return &report{positions: map[string]position{}, typeFields: map[reflect.Type][]Field{}}
}

// keys returns the keys of a struct type in the order of its fields.
func (r *report) fieldsOf(t reflect.Type) []Field {
	list, ok := r.typeFields[t]
	if !ok {
		for i := range t.NumField() {
			list = append(list, fieldFromTags(t.Field(i)))
		}
		r.typeFields[t] = list
	}
	return list
}

// add notes a fault at key, or at the closest enclosing key whose position is known.
func (r *report) add(key, format string, args ...any) {
	at := r.positionOf(key)
	r.problems = append(r.problems, Problem{File: at.file, Line: at.line, Key: key, Text: fmt.Sprintf(format, args...)})
}

func (r *report) positionOf(key string) position {
	for k := key; k != ""; k = parentKey(k) {
		if at, ok := r.positions[k]; ok {
			return at
		}
	}
	return position{}
}

// parent returns the path of the enclosing key, or "". Names in brackets may hold dots.
func parentKey(key string) string {
	cut := strings.LastIndexByte(key, '.')
	if strings.HasSuffix(key, "]") {
		cut = strings.LastIndexByte(key, '[')
	}
	return key[:max(cut, 0)]
}

// list returns the problems in the order of files and lines.
func (r *report) sorted() []Problem {
	sort.SliceStable(r.problems, func(i, j int) bool {
		a, b := r.problems[i], r.problems[j]
		if a.File != b.File {
			return a.File < b.File
		}
		return a.Line < b.Line
	})
	return r.problems
}

// has reports whether a problem is noted at key.
func (r *report) hasProblem(key string) bool {
	for _, p := range r.problems {
		if p.Key == key {
			return true
		}
	}
	return false
}

// refer notes a fault between declarations, unless the key has a fault of its own.
func (r *report) addUnlessFaulty(key, format string, args ...any) {
	if !r.faulty[key] {
		r.add(key, format, args...)
	}
}

// item returns the path of an element of the list at key.
func elementKey(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }

// at returns the path of the entry with the given name in the list at key.
func entryKey[N ~string](key string, name N) string { return key + "[" + string(name) + "]" }

package conf

import (
	"encoding/json"
	"math"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder fills structs from the syntax tree of one file and reports each fault with its line.
type decoder struct {
	*report
	file string
	// breaks holds the offsets of the line breaks.
	breaks []int
	// later is true for declarations, where a top-level key may be in another file.
	later bool
}

// decode parses data and fills the struct v; ok is false when the file is not well-formed.
func (r *report) decode(file string, data []byte, v reflect.Value, later bool) (ok bool) {
	d := decoder{report: r, file: file, later: later}
	for i, b := range data {
		if b == '\n' {
			d.breaks = append(d.breaks, i)
		}
	}
	tree, err := hujson.Parse(data)
	if err != nil {
		r.problems = append(r.problems, syntax(file, err))
		return false
	}
	d.group(tree, v, "")
	return true
}

// syntax turns an error of the parser, "hujson: line 3, column 7: text", into a problem.
func syntax(file string, err error) Problem {
	p := Problem{File: file, Text: strings.TrimPrefix(err.Error(), "hujson: ")}
	head, rest, ok := strings.Cut(p.Text, ", column ")
	if line, err := strconv.Atoi(strings.TrimPrefix(head, "line ")); ok && err == nil {
		p.Line, p.Text = line, "column "+rest
	}
	return p
}

func (d *decoder) mark(key string, offset int) {
	d.places[key] = place{file: d.file, line: 1 + sort.SearchInts(d.breaks, offset)}
}

// value fills v from a node at key.
func (d *decoder) value(n hujson.Value, v reflect.Value, key string) {
	if lit, ok := n.Value.(hujson.Literal); ok && lit.Kind() == 'n' {
		d.add(key, "must not be null")
		return
	}
	switch t := v.Type(); {
	case isGroup(t):
		d.group(n, v, key)
	case t.Kind() == reflect.Slice:
		d.slice(n, v, key)
	default:
		d.scalar(n, v, key)
	}
}

// group fills the struct v from an object.
func (d *decoder) group(n hujson.Value, v reflect.Value, key string) {
	obj, ok := n.Value.(*hujson.Object)
	if !ok {
		d.add(key, "must be an object")
		return
	}
	seen := map[string]bool{}
	for _, m := range obj.Members {
		d.member(m, v, key, seen)
	}
	if key == "" && d.later {
		return
	}
	for _, f := range d.keys(v.Type()) {
		if f.Need && !seen[f.Key] {
			d.add(join(key, f.Key), "is missing")
		}
	}
}

func (d *decoder) member(m hujson.ObjectMember, v reflect.Value, key string, seen map[string]bool) {
	name := m.Name.Value.(hujson.Literal).String()
	path := join(key, name)
	d.mark(path, m.Name.StartOffset)
	if seen[name] {
		d.add(path, "is given twice")
		return
	}
	seen[name] = true
	for i, f := range d.keys(v.Type()) {
		if f.Key != name {
			continue
		}
		if f.Set != "" {
			d.add(path, "is written by %s and must not be in a file", f.Set)
			return
		}
		d.value(m.Value, v.Field(i), path)
		return
	}
	d.add(path, "is not a known key")
}

// slice fills the list v from an array.
func (d *decoder) slice(n hujson.Value, v reflect.Value, key string) {
	arr, ok := n.Value.(*hujson.Array)
	if !ok {
		d.add(key, "must be a list")
		return
	}
	list := reflect.MakeSlice(v.Type(), len(arr.Elements), len(arr.Elements))
	used := map[string]bool{}
	for i, e := range arr.Elements {
		path := item(key, i)
		if isEntries(v.Type()) {
			path = d.entry(e, list.Index(i), key, path, used)
		}
		d.mark(path, e.StartOffset)
		d.value(e, list.Index(i), path)
	}
	v.Set(list)
}

// entry prepares an entry of a list and returns its path: by name when it has one of its own.
func (d *decoder) entry(e hujson.Value, v reflect.Value, key, path string, used map[string]bool) string {
	setDefaults(v)
	name := nameOf(e)
	if name == "" {
		return path
	}
	if used[name] {
		d.mark(path, e.StartOffset)
		d.add(path, "name %q is used twice in this file", name)
		return path
	}
	used[name] = true
	return at(key, name)
}

// nameOf returns the name of an entry if it is well-formed.
func nameOf(e hujson.Value) (name string) {
	obj, ok := e.Value.(*hujson.Object)
	if !ok {
		return ""
	}
	for _, m := range obj.Members {
		if lit, ok := m.Value.Value.(hujson.Literal); ok && m.Name.Value.(hujson.Literal).String() == "name" && lit.Kind() == '"' {
			name = lit.String()
		}
	}
	if !isName(name) {
		return ""
	}
	return name
}

func (d *decoder) scalar(n hujson.Value, v reflect.Value, key string) {
	lit, ok := n.Value.(hujson.Literal)
	if ok && json.Unmarshal(lit, v.Addr().Interface()) == nil {
		return
	}
	d.add(key, "must be %s", kindText(v))
}

func kindText(v reflect.Value) string {
	switch {
	case v.CanInt():
		return "a whole number"
	case v.CanUint():
		return "a whole number from 0 to " + strconv.FormatUint(math.MaxUint64>>(64-v.Type().Bits()), 10)
	case v.CanFloat():
		return "a number"
	case v.Kind() == reflect.Bool:
		return "true or false"
	case v.Kind() == reflect.String:
		return "a text"
	default:
		return `a time such as "2026-12-04T12:00:00Z"`
	}
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

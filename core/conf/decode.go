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
	lineBreaks []int
	// later is true for declarations, where a top-level key may be in another file.
	mayOmitKeys bool
}

// decode parses data and fills the struct v; ok is false when the file is not well-formed.
func (r *report) decodeFile(file string, data []byte, v reflect.Value, later bool) (ok bool) {
	d := decoder{report: r, file: file, mayOmitKeys: later}
	for i, b := range data {
		if b == '\n' {
			d.lineBreaks = append(d.lineBreaks, i)
		}
	}
	tree, err := hujson.Parse(data)
	if err != nil {
		r.problems = append(r.problems, syntaxProblem(file, err))
		return false
	}
	d.decodeGroup(tree, v, "")
	return true
}

// syntax turns an error of the parser, "hujson: line 3, column 7: text", into a problem.
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Text: strings.TrimPrefix(err.Error(), "hujson: ")}
	head, rest, ok := strings.Cut(p.Text, ", column ")
	if line, err := strconv.Atoi(strings.TrimPrefix(head, "line ")); ok && err == nil {
		p.Line, p.Text = line, "column "+rest
	}
	return p
}

func (d *decoder) recordPosition(key string, offset int) {
	d.positions[key] = position{file: d.file, line: 1 + sort.SearchInts(d.lineBreaks, offset)}
}

// value fills v from a node at key.
func (d *decoder) decodeValue(n hujson.Value, v reflect.Value, key string) {
	if lit, ok := n.Value.(hujson.Literal); ok && lit.Kind() == 'n' {
		d.add(key, "must not be null")
		return
	}
	switch t := v.Type(); {
	case isGroup(t):
		d.decodeGroup(n, v, key)
	case t.Kind() == reflect.Slice:
		d.decodeSlice(n, v, key)
	default:
		d.decodeScalar(n, v, key)
	}
}

// group fills the struct v from an object.
func (d *decoder) decodeGroup(n hujson.Value, v reflect.Value, key string) {
	obj, ok := n.Value.(*hujson.Object)
	if !ok {
		d.add(key, "must be an object")
		return
	}
	seen := map[string]bool{}
	for _, m := range obj.Members {
		d.decodeMember(m, v, key, seen)
	}
	if key == "" && d.mayOmitKeys {
		return
	}
	for _, f := range d.fieldsOf(v.Type()) {
		if f.Required && !seen[f.Key] {
			d.add(joinKey(key, f.Key), "is missing")
		}
	}
}

func (d *decoder) decodeMember(m hujson.ObjectMember, v reflect.Value, key string, seen map[string]bool) {
	name := m.Name.Value.(hujson.Literal).String()
	path := joinKey(key, name)
	d.recordPosition(path, m.Name.StartOffset)
	if seen[name] {
		d.add(path, "is given twice")
		return
	}
	seen[name] = true
	for i, f := range d.fieldsOf(v.Type()) {
		if f.Key != name {
			continue
		}
		if f.SetBy != "" {
			d.add(path, "is written by %s and must not be in a file", f.SetBy)
			return
		}
		d.decodeValue(m.Value, v.Field(i), path)
		return
	}
	d.add(path, "is not a known key")
}

// slice fills the list v from an array.
func (d *decoder) decodeSlice(n hujson.Value, v reflect.Value, key string) {
	arr, ok := n.Value.(*hujson.Array)
	if !ok {
		d.add(key, "must be a list")
		return
	}
	list := reflect.MakeSlice(v.Type(), len(arr.Elements), len(arr.Elements))
	used := map[string]bool{}
	for i, e := range arr.Elements {
		path := elementKey(key, i)
		if isEntryList(v.Type()) {
			path = d.prepareEntry(e, list.Index(i), key, path, used)
		}
		d.recordPosition(path, e.StartOffset)
		d.decodeValue(e, list.Index(i), path)
	}
	v.Set(list)
}

// entry prepares an entry of a list and returns its path: by name when it has one of its own.
func (d *decoder) prepareEntry(e hujson.Value, v reflect.Value, key, path string, used map[string]bool) string {
	setDefaults(v)
	name := nameInSource(e)
	if name == "" {
		return path
	}
	if used[name] {
		d.recordPosition(path, e.StartOffset)
		d.add(path, "name %q is used twice in this file", name)
		return path
	}
	used[name] = true
	return entryKey(key, name)
}

// nameOf returns the name of an entry if it is well-formed.
func nameInSource(e hujson.Value) (name string) {
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

func (d *decoder) decodeScalar(n hujson.Value, v reflect.Value, key string) {
	lit, ok := n.Value.(hujson.Literal)
	if ok && json.Unmarshal(lit, v.Addr().Interface()) == nil {
		return
	}
	d.add(key, "must be %s", expectedType(v))
}

func expectedType(v reflect.Value) string {
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

func joinKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

package lint

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"hickoryvane.example/core/conf"
)

const (
	// FileBytesMax bounds a configuration; the store limits objects to 1 MB.
	FileBytesMax = conf.ValueBytesMax
	// problemsMax bounds the problems found in one file while it is decoded, so that a file of another kind does not fill
	// the report.
	problemsMax = 1000
)

// Document is a decoded file with the line of each key.
type Document struct {
	Name     string
	Problems []Problem
	lines    map[string]int
	// entries holds the keys of entries of lists by list and position.
	entries map[listEntry]string
	data    []byte
}

type listEntry struct {
	list  string
	index int
}

// Decode fills the struct to which into points from a JSON file, as encoding/json does, and reports what encoding/json
// ignores or stops at: repeated and unknown keys, null for a value, and each value of a wrong type. Keys of ignored are known and not
// read; they are paths with "[]" for entries, such as "services[].comment". ok is false if the file is not JSON.
func Decode(name string, data []byte, into any, ignored ...string) (d *Document, ok bool) {
	d = &Document{Name: name, lines: map[string]int{}, entries: map[listEntry]string{}, data: data}
	if len(data) > FileBytesMax {
		d.addError("", 0, "file is larger than %d bytes", FileBytesMax)
		return d, false
	}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		d.addError("", d.lineOfSyntaxError(err), "%v", err)
		return d, false
	}
	tree, err := hujson.Parse(data)
	if err != nil {
		d.addError("", 0, "%s", strings.TrimPrefix(err.Error(), "hujson: "))
		return d, false
	}
	w := walker{Document: d, ignored: ignored}
	w.walk(tree, reflect.ValueOf(into).Elem(), "", "")
	return d, true
}

// lineOfSyntaxError returns 0 if the position of the error is not known.
func (d *Document) lineOfSyntaxError(err error) int {
	if e, ok := err.(*json.SyntaxError); ok {
		return d.lineAt(int(e.Offset))
	}
	return 0
}

func (d *Document) lineAt(offset int) int {
	return 1 + bytes.Count(d.data[:min(max(offset, 0), len(d.data))], []byte("\n"))
}

// Add adds a problem at a key, with the line of the closest enclosing key that is in the file.
func (d *Document) Add(s Severity, r Rule, key, format string, args ...any) {
	if len(d.Problems) < problemsMax {
		d.Problems = append(d.Problems, Problem{s, r, conf.Problem{File: d.Name, Line: d.line(key), Key: key, Text: fmt.Sprintf(format, args...)}})
	}
}

func (d *Document) addError(key string, line int, format string, args ...any) {
	d.Problems = append(d.Problems, Problem{Error, Invalid, conf.Problem{File: d.Name, Line: line, Key: key, Text: fmt.Sprintf(format, args...)}})
}

func (d *Document) line(key string) int {
	for {
		if n, ok := d.lines[key]; ok {
			return n
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			return 0
		}
		key = key[:i]
	}
}

// walker decodes the nodes of a file.
type walker struct {
	*Document
	ignored []string
}

// walk fills v from the node at key. pattern is the key with "[]" for entries.
func (w *walker) walk(n hujson.Value, v reflect.Value, key, pattern string) {
	if lit, ok := n.Value.(hujson.Literal); ok && lit.Kind() == 'n' {
		if v.Kind() != reflect.Pointer && v.Kind() != reflect.Slice { // in which null stands for a missing value
			w.Add(Error, Invalid, key, "must not be null")
		}
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		w.walk(n, v.Elem(), key, pattern)
	case reflect.Struct:
		w.walkObject(n, v, key, pattern)
	case reflect.Slice:
		w.walkList(n, v, key, pattern)
	default:
		lit, ok := n.Value.(hujson.Literal)
		if !ok || json.Unmarshal(lit, v.Addr().Interface()) != nil {
			w.Add(Error, Invalid, key, "must be %s", expected(v))
		}
	}
}

func (w *walker) walkObject(n hujson.Value, v reflect.Value, key, pattern string) {
	obj, ok := n.Value.(*hujson.Object)
	if !ok {
		w.Add(Error, Invalid, key, "must be an object")
		return
	}
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		path, pathPattern := join(key, name), join(pattern, name)
		if seen[strings.ToLower(name)] {
			w.Add(Error, Invalid, path, "is given twice")
			continue
		}
		seen[strings.ToLower(name)] = true
		w.lines[path] = w.lineAt(m.Name.StartOffset)
		f, ok := fieldOf(v, name)
		switch {
		case ok:
			w.walk(m.Value, f, path, pathPattern)
		case !slices.Contains(w.ignored, pathPattern):
			w.Add(Warning, Unread, path, "is not a known key and is not read")
		}
	}
}

// fieldOf returns the field of a struct whose JSON key is name, in any case.
func fieldOf(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ","); strings.EqualFold(tag, name) {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func (w *walker) walkList(n hujson.Value, v reflect.Value, key, pattern string) {
	arr, ok := n.Value.(*hujson.Array)
	if !ok {
		w.Add(Error, Invalid, key, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(arr.Elements), len(arr.Elements)))
	for i, e := range arr.Elements {
		path := entryKey(key, i, nameOf(e))
		if _, used := w.lines[path]; used {
			path = entryKey(key, i, "")
		}
		w.lines[path], w.entries[listEntry{key, i}] = w.lineAt(e.StartOffset), path
		w.walk(e, v.Index(i), path, pattern+"[]")
	}
}

// Entry returns the key of an entry: with its name, or its position if it has none or shares it with an earlier entry.
func (d *Document) Entry(list string, i int) string { return d.entries[listEntry{list, i}] }

func entryKey(list string, i int, name string) string {
	if name == "" || strings.ContainsAny(name, "[]") {
		name = strconv.Itoa(i)
	}
	return list + "[" + name + "]"
}

// nameOf returns the value of the key "name" of an object, or "".
func nameOf(n hujson.Value) string {
	if obj, ok := n.Value.(*hujson.Object); ok {
		for _, m := range obj.Members {
			if lit, ok := m.Value.Value.(hujson.Literal); ok && lit.Kind() == '"' && m.Name.Value.(hujson.Literal).String() == "name" {
				return lit.String()
			}
		}
	}
	return ""
}

// expected returns the words for operators that describe the type of v.
func expected(v reflect.Value) string {
	switch {
	case v.CanUint() && v.Type().Bits() == 8:
		return "a whole number from 0 to 255"
	case v.CanUint():
		return "a whole number, not negative"
	case v.CanInt():
		return "a whole number"
	case v.CanFloat():
		return "a number"
	case v.Kind() == reflect.Bool:
		return "true or false"
	default:
		return "a text"
	}
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

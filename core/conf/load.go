package conf

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// fileMax bounds one file of declarations or settings, in bytes; the merged configuration must fit into an
// object of 1 MB, so a larger file cannot be accepted.
const fileMax = ValueMax

// File is the content of one file of declarations.
type File struct {
	Name string
	Data []byte
}

// Load reads, merges and checks the *.json files of a folder in the order of their names.
func Load(dir string) (Config, []Problem) {
	names, err := filepath.Glob(filepath.Join(quoteMeta(dir), "*.json"))
	if err != nil || len(names) == 0 {
		return Config{}, []Problem{{File: dir, Text: "holds no *.json file"}}
	}
	slices.Sort(names)
	files := make([]File, 0, len(names))
	var problems []Problem
	for _, name := range names {
		data, err := readFile(name)
		if err != nil {
			problems = append(problems, Problem{File: name, Text: err.Error()})
			continue
		}
		files = append(files, File{Name: name, Data: data})
	}
	cfg, found := merge(files, len(problems) > 0)
	return cfg, append(problems, found...)
}

// quoteMeta escapes the characters with a meaning in file patterns.
func quoteMeta(dir string) string {
	return strings.NewReplacer(`\`, `\\`, `*`, `\*`, `?`, `\?`, `[`, `\[`).Replace(dir)
}

func readFile(name string) (data []byte, err error) {
	defer func() { err = errors.WithMessage(err, "read file") }()
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > fileMax {
		return nil, errors.Errorf("file is larger than %d bytes", fileMax)
	}
	return os.ReadFile(name)
}

// Merge merges and checks files in the given order. Lists merge by name, a later entry replaces a whole
// earlier one; the position of the first stays. Other values are replaced key by key.
func Merge(files []File) (Config, []Problem) { return merge(files, false) }

// merge leaves references out of the check when a file is missing or not well-formed: what that file would
// declare is unknown, and each reference to it would be a false report.
func merge(files []File, partial bool) (cfg Config, problems []Problem) {
	all := newReport()
	setDefaults(reflect.ValueOf(&cfg).Elem())
	for _, f := range files {
		one := newReport()
		part := Config{Limits: cfg.Limits, Deployment: cfg.Deployment}
		v := reflect.ValueOf(&part).Elem()
		if !one.decode(f.Name, f.Data, v, true) {
			partial = true
		}
		one.given(v)
		overlay(reflect.ValueOf(&cfg).Elem(), v, all, one)
	}
	if !partial {
		all.totals(reflect.ValueOf(cfg))
		all.references(cfg)
	}
	return cfg, all.list()
}

// given checks the values of the top-level keys that a file holds, also of entries that a later file replaces.
func (r *report) given(v reflect.Value) {
	for i, f := range r.keys(v.Type()) {
		if _, ok := r.places[f.Key]; ok && f.Set == "" && !r.has(f.Key) {
			r.field(v.Field(i), f, f.Key)
		}
	}
}

// totals checks that the needed top-level keys are in some file, and the lengths of the merged lists.
func (r *report) totals(v reflect.Value) {
	for i, f := range r.keys(v.Type()) {
		low, high, ok := f.limits()
		switch {
		case r.has(f.Key):
		case f.Need && v.Field(i).IsZero():
			r.add(f.Key, "is missing")
		case ok && v.Field(i).Kind() == reflect.Slice:
			r.count(v.Field(i).Len(), low, high, f.Key)
		}
	}
}

// overlay merges the part read from one file, and its positions and faults, into the whole.
func overlay(whole, part reflect.Value, all, one *report) {
	for i, f := range all.keys(whole.Type()) {
		v := part.Field(i)
		if !isEntries(v.Type()) {
			whole.Field(i).Set(v)
			continue
		}
		for j := range v.Len() {
			replace(whole.Field(i), v.Index(j), f.Key, all)
		}
	}
	for key, p := range one.places {
		all.places[key] = p
	}
	all.problems = append(all.problems, one.problems...)
}

// replace puts an entry in the place of the one with the same name, or at the end.
func replace(list, entry reflect.Value, key string, all *report) {
	name := entryName(entry)
	for i := range list.Len() {
		if name != "" && entryName(list.Index(i)) == name {
			list.Index(i).Set(entry)
			all.forget(at(key, name))
			return
		}
	}
	list.Set(reflect.Append(list, entry))
}

// forget drops the positions in an entry that a later file replaces as a whole.
func (r *report) forget(key string) {
	for k := range r.places {
		if strings.HasPrefix(k, key) {
			delete(r.places, k)
		}
	}
}

// Check returns all faults of a merged configuration.
func Check(cfg Config) []Problem {
	r := newReport()
	r.fields(reflect.ValueOf(cfg), "")
	r.references(cfg)
	return r.list()
}

// ReadSettings reads and checks the settings of a process from one file.
func ReadSettings[T Settings](name string) (set T, problems []Problem) {
	data, err := readFile(name)
	if err != nil {
		return set, []Problem{{File: name, Text: err.Error()}}
	}
	return ParseSettings[T](name, data)
}

// ParseSettings reads and checks the settings of a process from the content of the named file.
func ParseSettings[T Settings](name string, data []byte) (set T, problems []Problem) {
	r := newReport()
	v := reflect.ValueOf(&set).Elem()
	setDefaults(v)
	if r.decode(name, data, v, false) {
		r.fields(v, "")
	}
	return set, r.list()
}

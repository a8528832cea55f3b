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
const fileBytesMax = ValueBytesMax

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
	if info.Size() > fileBytesMax {
		return nil, errors.Errorf("file is larger than %d bytes", fileBytesMax)
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
		if !one.decodeFile(f.Name, f.Data, v, true) {
			partial = true
		}
		one.checkGiven(v)
		mergeFile(reflect.ValueOf(&cfg).Elem(), v, all, one)
	}
	if !partial {
		all.checkMerged(reflect.ValueOf(cfg))
		all.checkReferences(cfg)
	}
	return cfg, all.sorted()
}

// given checks the values of the top-level keys that a file holds, also of entries that a later file replaces.
func (r *report) checkGiven(v reflect.Value) {
	for i, f := range r.fieldsOf(v.Type()) {
		if _, ok := r.positions[f.Key]; ok && f.SetBy == "" && !r.hasProblem(f.Key) {
			r.checkField(v.Field(i), f, f.Key)
		}
	}
}

// totals checks that the needed top-level keys are in some file, and the lengths of the merged lists.
func (r *report) checkMerged(v reflect.Value) {
	for i, f := range r.fieldsOf(v.Type()) {
		low, high, ok := f.bounds()
		switch {
		case r.hasProblem(f.Key):
		case f.Required && v.Field(i).IsZero():
			r.add(f.Key, "is missing")
		case ok && v.Field(i).Kind() == reflect.Slice:
			r.checkLength(v.Field(i).Len(), low, high, f.Key)
		}
	}
}

// overlay merges the part read from one file, and its positions and faults, into the whole.
func mergeFile(whole, part reflect.Value, all, one *report) {
	for i, f := range all.fieldsOf(whole.Type()) {
		v := part.Field(i)
		if !isEntryList(v.Type()) {
			whole.Field(i).Set(v)
			continue
		}
		for j := range v.Len() {
			putEntry(whole.Field(i), v.Index(j), f.Key, all)
		}
	}
	for key, p := range one.positions {
		all.positions[key] = p
	}
	all.problems = append(all.problems, one.problems...)
}

// replace puts an entry in the place of the one with the same name, or at the end.
func putEntry(list, entry reflect.Value, key string, all *report) {
	name := entryName(entry)
	for i := range list.Len() {
		if name != "" && entryName(list.Index(i)) == name {
			list.Index(i).Set(entry)
			all.dropPositions(entryKey(key, name))
			return
		}
	}
	list.Set(reflect.Append(list, entry))
}

// forget drops the positions in an entry that a later file replaces as a whole.
func (r *report) dropPositions(key string) {
	for k := range r.positions {
		if strings.HasPrefix(k, key) {
			delete(r.positions, k)
		}
	}
}

// Check returns all faults of a merged configuration.
func Check(cfg Config) []Problem {
	r := newReport()
	r.checkFields(reflect.ValueOf(cfg), "")
	r.checkReferences(cfg)
	return r.sorted()
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
	if r.decodeFile(name, data, v, false) {
		r.checkFields(v, "")
	}
	return set, r.sorted()
}

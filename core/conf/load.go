package conf

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// fileBytesMax bounds one file of declarations or settings. The merged configuration must fit into an object of
// 1 MB, so a larger file cannot be accepted.
const fileBytesMax = ValueBytesMax

// File is the content of one file of declarations.
type File struct {
	Name string
	Data []byte
}

// Load reads, merges and checks the *.json files of a folder in the order of their names.
func Load(dir string) (Config, []Problem) {
	cfg, _, problems := LoadWithPositions(dir)
	return cfg, problems
}

// Positions finds the keys of declarations in their files.
type Positions struct{ r *report }

// Locate returns the file and line of a key, or of the closest enclosing key that is in a file.
func (p Positions) Locate(key string) (file string, line int) {
	pos := p.r.positionOf(key)
	return pos.file, pos.line
}

// LoadWithPositions is Load and returns the positions of the keys as well.
func LoadWithPositions(dir string) (Config, Positions, []Problem) {
	names, err := filepath.Glob(filepath.Join(quoteMeta(dir), "*.json"))
	if err != nil || len(names) == 0 {
		return Config{}, Positions{newReport()}, []Problem{{File: dir, Text: "holds no *.json file"}}
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
	cfg, r := merge(files, len(problems) > 0)
	return cfg, Positions{r}, append(problems, r.sorted()...)
}

// quoteMeta escapes the characters that have a meaning in patterns of filepath.Glob.
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

// Merge merges and checks files in the given order. Entries of lists merge by name: a later entry replaces an
// earlier one as a whole, at the place of the earlier one in the list. Other values are replaced key by key.
func Merge(files []File) (Config, []Problem) {
	cfg, r := merge(files, false)
	return cfg, r.sorted()
}

// merge does not check references when partial is true or a file is not well-formed: the declarations of a
// missing file are unknown, and each reference to one of them would be reported as a false problem.
func merge(files []File, partial bool) (cfg Config, r *report) {
	merged := newReport()
	setDefaults(reflect.ValueOf(&cfg).Elem())
	for _, f := range files {
		fromFile := newReport()
		part := Config{Limits: cfg.Limits, Deployment: cfg.Deployment}
		v := reflect.ValueOf(&part).Elem()
		if !fromFile.decodeFile(f.Name, f.Data, v, true) {
			partial = true
		}
		fromFile.checkGiven(v)
		mergeFile(reflect.ValueOf(&cfg).Elem(), v, merged, fromFile)
	}
	if !partial {
		merged.checkMerged(reflect.ValueOf(cfg))
		merged.checkReferences(cfg)
	}
	return cfg, merged
}

// checkGiven checks the values of the top-level keys in one file, including entries that a later file replaces.
func (r *report) checkGiven(v reflect.Value) {
	for i, f := range r.fieldsOf(v.Type()) {
		if _, ok := r.positions[f.Key]; ok && f.SetBy == "" && !r.hasProblem(f.Key) {
			r.checkField(v.Field(i), f, f.Key)
		}
	}
}

// checkMerged checks that each required top-level key is in some file, and the lengths of the merged lists.
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

// mergeFile merges the values, positions and problems of one file into those of the files before it.
func mergeFile(into, part reflect.Value, merged, fromFile *report) {
	for i, f := range merged.fieldsOf(into.Type()) {
		v := part.Field(i)
		if !isEntryList(v.Type()) {
			into.Field(i).Set(v)
			continue
		}
		for j := range v.Len() {
			putEntry(into.Field(i), v.Index(j), f.Key, merged)
		}
	}
	for key, p := range fromFile.positions {
		merged.positions[key] = p
	}
	merged.problems = append(merged.problems, fromFile.problems...)
}

// putEntry replaces the entry of the same name in a list, or appends the entry if there is none.
func putEntry(list, entry reflect.Value, key string, merged *report) {
	name := entryName(entry)
	for i := range list.Len() {
		if name != "" && entryName(list.Index(i)) == name {
			list.Index(i).Set(entry)
			merged.dropPositions(entryKey(key, name))
			return
		}
	}
	list.Set(reflect.Append(list, entry))
}

// dropPositions removes the positions of an entry that a later file replaces as a whole.
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

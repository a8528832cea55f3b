package conf

import (
	"encoding/json"
	"reflect"
	"strings"
)

// Action says how a key differs.
type Action string

// Actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	Action Action `json:"action"`
	// Key is the path of the key or entry, for example "accounts[north].rate".
	Key string `json:"key"`
	// Old and New are the JSON of the values; empty where there is none.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns the form shown to operators.
func (c Change) String() string {
	if c.Action != Changed {
		return c.Key + " " + string(c.Action)
	}
	return c.Key + " changed from " + c.Old + " to " + c.New
}

// Diff names what differs between two configurations, in the order of the keys of Config. Generation,
// attempts and the order of entries are left out; of an entry in one of them only the name is given.
func Diff(a, b Config) []Change { return diffGroup(reflect.ValueOf(a), reflect.ValueOf(b), "") }

func diffGroup(a, b reflect.Value, key string) (list []Change) {
	for i := range a.NumField() {
		f := fieldFromTags(a.Type().Field(i))
		if f.SetBy == "" {
			list = append(list, diffValue(a.Field(i), b.Field(i), joinKey(key, f.Key))...)
		}
	}
	return list
}

func diffValue(a, b reflect.Value, key string) []Change {
	switch {
	case isEntryList(a.Type()):
		return diffEntries(a, b, key)
	case isGroup(a.Type()):
		return diffGroup(a, b, key)
	}
	was, is := encodeValue(a), encodeValue(b)
	if was == is {
		return nil
	}
	return []Change{{Action: Changed, Key: key, Old: was, New: is}}
}

func diffEntries(a, b reflect.Value, key string) (list []Change) {
	old, now := entriesByName(a), entriesByName(b)
	for i := range a.Len() {
		name := entryName(a.Index(i))
		if other, ok := now[name]; ok {
			list = append(list, diffGroup(a.Index(i), other, entryKey(key, name))...)
			continue
		}
		list = append(list, Change{Action: Removed, Key: entryKey(key, name)})
	}
	for i := range b.Len() {
		if name := entryName(b.Index(i)); !old[name].IsValid() {
			list = append(list, Change{Action: Added, Key: entryKey(key, name)})
		}
	}
	return list
}

func entriesByName(list reflect.Value) map[string]reflect.Value {
	m := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		m[entryName(list.Index(i))] = list.Index(i)
	}
	return m
}

func entryName(v reflect.Value) string { return v.FieldByName("Name").String() }

// encoded returns the JSON of a value; an empty list equals a missing one.
func encodeValue(v reflect.Value) string {
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return "[]"
	}
	b, err := json.Marshal(v.Interface())
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// Lines returns the changes as one text, separated by semicolons, at most n of them.
func FormatChanges(list []Change, n int) string {
	var parts []string
	for _, c := range list[:min(n, len(list))] {
		parts = append(parts, c.String())
	}
	if len(list) > n {
		parts = append(parts, "and more")
	}
	return strings.Join(parts, "; ")
}

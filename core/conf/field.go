package conf

import (
	"encoding"
	"reflect"
	"strconv"
	"strings"
)

// Field describes one key of declarations or settings by its struct tags.
type Field struct {
	// Key is the path of the key, with "[]" after lists of entries, for example "accounts[].weight".
	Key     string
	Unit    string
	Default string
	// Limit is the range of a number, of the length of a list or of the length of a text, as "min..max".
	Limit string
	// Form names the form of a text or of each text of a list: name, label, address, hash, path or time.
	Format string
	// One lists the words allowed, separated by spaces.
	OneOf string
	// Need is true when the key must be given.
	Required bool
	// Set names the part of the system that writes the key; such a key is not allowed in files.
	SetBy string
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// Fields returns all keys of a declaration or settings struct in the order of their declaration.
func Fields(v any) []Field { return fieldsOf(reflect.TypeOf(v), "") }

func fieldsOf(t reflect.Type, prefix string) (list []Field) {
	for i := range t.NumField() {
		f := fieldFromTags(t.Field(i))
		f.Key = prefix + f.Key
		list = append(list, f)
		switch ft := t.Field(i).Type; {
		case isEntryList(ft):
			list = append(list, fieldsOf(ft.Elem(), f.Key+"[].")...)
		case isGroup(ft):
			list = append(list, fieldsOf(ft, f.Key+".")...)
		}
	}
	return list
}

func fieldFromTags(f reflect.StructField) Field {
	key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return Field{
		Key: key, Unit: f.Tag.Get("unit"), Default: f.Tag.Get("default"), Limit: f.Tag.Get("limit"),
		Format: f.Tag.Get("form"), OneOf: f.Tag.Get("one"), Required: f.Tag.Get("need") != "", SetBy: f.Tag.Get("set"),
	}
}

// isGroup reports whether t is a struct of keys rather than a value such as time.Time.
func isGroup(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && !reflect.PointerTo(t).Implements(textUnmarshaler)
}

// isEntries reports whether t is a list of structs, which are told apart by their names.
func isEntryList(t reflect.Type) bool { return t.Kind() == reflect.Slice && isGroup(t.Elem()) }

// limits returns the bounds of the tag "limit"; ok is false without one.
func (f Field) bounds() (low, high int64, ok bool) {
	a, b, ok := strings.Cut(f.Limit, "..")
	if !ok {
		return 0, 0, false
	}
	low, _ = strconv.ParseInt(a, 10, 64)
	high, _ = strconv.ParseInt(b, 10, 64)
	return low, high, true
}

// setDefaults gives the keys of a struct their defaults, also in its groups.
func setDefaults(v reflect.Value) {
	for i := range v.NumField() {
		if isGroup(v.Field(i).Type()) {
			setDefaults(v.Field(i))
			continue
		}
		setDefault(v.Field(i), fieldFromTags(v.Type().Field(i)).Default)
	}
}

func setDefault(v reflect.Value, text string) {
	switch {
	case text == "":
	case v.CanInt():
		n, _ := strconv.ParseInt(text, 10, 64)
		v.SetInt(n)
	case v.CanUint():
		n, _ := strconv.ParseUint(text, 10, 64)
		v.SetUint(n)
	case v.Kind() == reflect.Bool:
		v.SetBool(text == "true")
	}
}

package loose_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"strings"
	"testing"

	"hickoryvane.example/core/loose"
)

// Guards against sound elements that are lost beside elements that cannot be decoded.
func TestElementsBesideUnreadableOnes(t *testing.T) {
	deep := strings.Repeat("[", 1<<20) + strings.Repeat("]", 1<<20)
	in := ` [ 1 , ` + deep + `,"a,]\"" , 1e400,{"x":[{},"}"]} , nonsense ,null] `
	got, err := loose.Elements([]byte(in))
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"1", deep, `"a,]\""`, "1e400", `{"x":[{},"}"]}`, "nonsense", "null"}
	if len(got) != len(want) {
		t.Fatalf("%d elements", len(got))
	}
	for i := range want {
		if string(got[i]) != want[i] {
			t.Errorf("element %d is %.80q", i, got[i])
		}
	}
}

// Guards against a splitter that panics, never ends, or disagrees with encoding/json on valid input.
func FuzzSplit(f *testing.F) {
	for _, s := range []string{`[1,"a",{"b":[2]},null]`, `{"a":1,"b":{"c":[]},"a":2}`, `[[[`, `{"a"}`, `[1,]`, `[,]`, `{"a":}`, `"x"`, `[1 2]`, `["]`, `{"\ud800":1}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		elements, eerr := loose.Elements(b)
		members, merr := loose.Members(b)
		r, n := bufio.NewReader(bytes.NewReader(b)), 0
		for {
			v, err := loose.ReadValue(r, 1<<10)
			if n += len(v); err != nil {
				break
			}
			if len(v) == 0 || n > len(b) {
				t.Fatal("no progress")
			}
		}
		var l []json.RawMessage
		if json.Unmarshal(b, &l) == nil && l != nil {
			if eerr != nil || len(elements) != len(l) {
				t.Fatalf("%q: %d of %d elements, %v", b, len(elements), len(l), eerr)
			}
			for i := range l {
				if !bytes.Equal(elements[i], l[i]) {
					t.Fatalf("%q: element %d is %q", b, i, elements[i])
				}
			}
		}
		var m map[string]json.RawMessage
		if json.Unmarshal(b, &m) == nil && m != nil {
			if merr != nil || len(members) != len(m) {
				t.Fatalf("%q: %d of %d members, %v", b, len(members), len(m), merr)
			}
			for k := range m {
				if !bytes.Equal(members[k], m[k]) {
					t.Fatalf("%q: member %q is %q", b, k, members[k])
				}
			}
		}
	})
}

// Guards against a sequence of values in which an unreadable one hides those that follow.
func TestSequenceGoesOnAfterUnreadableValue(t *testing.T) {
	r := bufio.NewReader(strings.NewReader("{\"a\":1}\n" + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + " {\"b\":\"}\"}"))
	var got []string
	for {
		v, err := loose.ReadValue(r, 1<<20)
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, string(v[:1])+string(v[len(v)-1:]))
	}
	if !reflect.DeepEqual(got, []string{"{}", "[]", "{}"}) {
		t.Fatal(got)
	}
}

package active

import (
	"encoding/json"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/member"
)

// List is the value of a fact of SortList.
type List struct {
	// At is the Unix time in milliseconds at which the watcher read the list.
	At   int64
	List []member.Entry
}

// entry is the encoded form of a member.Entry.
type entry struct {
	VM      ident.ProcessID  `json:"vm"`
	Address string           `json:"address"`
	Role    member.Role      `json:"role"`
	Centre  ident.DataCentre `json:"centre"`
	Leaving bool             `json:"leaving,omitempty"`
}

type list struct {
	At   int64   `json:"at"`
	List []entry `json:"list"`
}

// Encode returns the value of the fact.
func (l List) Encode() []byte {
	v := list{At: l.At}
	for _, e := range l.List {
		v.List = append(v.List, entry(e))
	}
	b, err := json.Marshal(v)
	if err != nil { // strings and numbers always encode
		return nil
	}
	return b
}

// DecodeList returns the list in the value of a fact.
func DecodeList(value []byte) (l List, err error) {
	var v list
	if err = json.Unmarshal(value, &v); err != nil {
		return l, errors.WithMessage(err, "read list of VMs")
	}
	l.At = v.At
	for _, e := range v.List {
		l.List = append(l.List, member.Entry(e))
	}
	return l, nil
}

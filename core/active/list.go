package active

import (
	"encoding/json"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/member"
)

// List is the value of a fact of SortList.
type VMList struct {
	// At is the Unix time in milliseconds at which the watcher read the list.
	ReadAtMillis int64
	VMs          []member.Entry
}

// entry is the encoded form of a member.Entry.
type vmJSON struct {
	VM      ident.ProcessID  `json:"vm"`
	Address string           `json:"address"`
	Role    member.Role      `json:"role"`
	Centre  ident.DataCentre `json:"centre"`
	Leaving bool             `json:"leaving,omitempty"`
}

type vmListJSON struct {
	At   int64    `json:"at"`
	List []vmJSON `json:"list"`
}

// Encode returns the value of the fact.
func (l VMList) Encode() []byte {
	v := vmListJSON{At: l.ReadAtMillis}
	for _, e := range l.VMs {
		v.List = append(v.List, vmJSON(e))
	}
	b, err := json.Marshal(v)
	if err != nil { // strings and numbers always encode
		return nil
	}
	return b
}

// DecodeList returns the list in the value of a fact.
func DecodeVMList(value []byte) (l VMList, err error) {
	var v vmListJSON
	if err = json.Unmarshal(value, &v); err != nil {
		return l, errors.WithMessage(err, "read list of VMs")
	}
	l.ReadAtMillis = v.At
	for _, e := range v.List {
		l.VMs = append(l.VMs, member.Entry(e))
	}
	return l, nil
}

package active

import (
	"encoding/json"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/member"
)

// VMList is the value of a gossip entry of KindVMList.
type VMList struct {
	// ReadAtMillis is the Unix time in milliseconds at which the watcher read the list.
	ReadAtMillis int64
	VMs          []member.Entry
}

// vmJSON is the encoded form of a member.Entry.
type vmJSON struct {
	VM      ident.ProcessID  `json:"vm"`
	Address string           `json:"address"`
	Role    member.Role      `json:"role"`
	Centre  ident.DataCentre `json:"centre"`
	Leaving bool             `json:"leaving,omitempty"`
}

// vmListJSON is the encoded form of a VMList.
type vmListJSON struct {
	At   int64    `json:"at"`
	List []vmJSON `json:"list"`
}

// Encode returns the value of the gossip entry.
func (l VMList) Encode() []byte {
	v := vmListJSON{At: l.ReadAtMillis}
	for _, e := range l.VMs {
		v.List = append(v.List, vmJSON(e))
	}
	b, err := json.Marshal(v)
	if err != nil { // not reached: strings and numbers can always be encoded
		return nil
	}
	return b
}

// DecodeVMList decodes the list in the value of a gossip entry.
func DecodeVMList(value []byte) (l VMList, err error) {
	var v vmListJSON
	if err = json.Unmarshal(value, &v); err != nil {
		return l, errors.WithMessage(err, "decode list of VMs")
	}
	l.ReadAtMillis = v.At
	for _, e := range v.List {
		l.VMs = append(l.VMs, member.Entry(e))
	}
	return l, nil
}

// Package relay passes what one router has read from the store to other routers, over the admin address.
//
// Load pattern: hundreds of routers that start together, or that a change of a large object reaches at the same moment,
// behind links that they share. A snapshot is encoded once for all who ask for it at about the same time, and compressed:
// its objects are much alike.
package relay

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"hickoryvane.example/core/store"
)

const (
	// Path is the path on the admin address at which a router serves its snapshot.
	Path = "/snapshot.gz"
	// withoutTargets is the query of a snapshot without the registrations of targets, which are most of its bytes.
	withoutTargets = "targets=no"
	// bytesMax limits a snapshot before compression: the largest configuration and some thousand registrations.
	bytesMax = 8 << 20
)

// Snapshot holds the objects of the store as a router last read them.
type Snapshot struct {
	Config store.Object
	// Targets are the registrations of targets; nil in a snapshot without them. They contain all changes up to TargetRev,
	// from which a watch can go on, and some later ones; NewestTarget is the newest revision among them.
	Targets                 []store.Object
	TargetRev, NewestTarget store.Rev
	Rollouts                []store.Object
}

// object is the encoded form of an object. Values are text, which compresses better than base64.
type object struct {
	Kind, Name, Rev, Value string
	Status                 string `json:",omitempty"`
}

// encoded is the encoded form of a snapshot.
type encoded struct {
	Config                  object
	Targets                 []object
	TargetRev, NewestTarget store.Rev
	Rollouts                []object
}

func encodeObjects(l []store.Object) []object {
	if l == nil {
		return nil
	}
	out := make([]object, 0, len(l))
	for _, o := range l {
		out = append(out, object{o.Kind, o.Name, string(o.Rev), string(o.Value), string(o.Status)})
	}
	return out
}

func decodeObject(o object) store.Object {
	out := store.Object{Kind: o.Kind, Name: o.Name, Rev: store.Rev(o.Rev), Value: []byte(o.Value)}
	if o.Status != "" {
		out.Status = []byte(o.Status)
	}
	return out
}

func decodeObjects(l []object) []store.Object {
	if l == nil {
		return nil
	}
	out := make([]store.Object, 0, len(l))
	for _, o := range l {
		out = append(out, decodeObject(o))
	}
	return out
}

// encode returns the compressed form of a snapshot.
func encode(s Snapshot) (b []byte, err error) {
	defer func() { err = errors.WithMessage(err, "encode snapshot") }()
	e := encoded{Config: encodeObjects([]store.Object{s.Config})[0], Targets: encodeObjects(s.Targets), TargetRev: s.TargetRev, NewestTarget: s.NewestTarget, Rollouts: encodeObjects(s.Rollouts)}
	var out bytes.Buffer
	z, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err = json.NewEncoder(z).Encode(e); err != nil {
		return nil, err
	}
	if err = z.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decode is the inverse of encode. It limits what it unpacks, as the sender may be faulty.
func decode(b []byte) (s Snapshot, err error) {
	defer func() { err = errors.WithMessage(err, "decode snapshot") }()
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return s, err
	}
	var e encoded
	if err = json.NewDecoder(io.LimitReader(z, bytesMax)).Decode(&e); err != nil {
		return s, err
	}
	return Snapshot{Config: decodeObject(e.Config), Targets: decodeObjects(e.Targets), TargetRev: e.TargetRev, NewestTarget: e.NewestTarget, Rollouts: decodeObjects(e.Rollouts)}, nil
}

// Package block records blocks of requests in the store, so that they outlive a stop of all routers.
//
// Load pattern: all routers lose power while requests that crash targets go on coming. What the routers tell each
// other is lost then, and it would take as many crashes as before to learn it again.
package block

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/poison"
	"hickoryvane.example/core/store"
)

const (
	// Kind is the kind of the objects in which routers record blocks.
	Kind = "blocks"
	// changesMax limits the changes that wait to be written.
	changesMax = 32
	// storeRetry is the pause after a failed call of the store.
	storeRetry = 800 * time.Millisecond
	// writeTries is the number of tries to write a change; the other routers know it in any case.
	writeTries = 5
	// endSlack is the time by which a record may end before the block: clocks differ between routers.
	endSlack = 10 * time.Second
)

// change is a block that was added or lifted.
type change struct {
	poison.Block
	lifted bool
}

// record is the value of a block's object. Times are in Unix milliseconds.
type record struct {
	Features []ident.Fingerprint `json:"features"`
	At       int64               `json:"at"`
	Until    int64               `json:"until"`
}

// objectName returns the name of a block's object.
func objectName(features []ident.Fingerprint) string {
	b, _ := json.Marshal(features) // integers cannot fail
	return strconv.FormatUint(uint64(ident.FingerprintOf("", b)), 16)
}

// Blocks are the blocks that a router knows.
type Blocks interface {
	// MergeBlock adds a block that was read from the store.
	MergeBlock(b poison.Block)
	// InForce returns the blocks in force.
	InForce() []poison.Block
	// RewriteDelay returns the time after which this router writes what the store has lost: the routers do so in turn.
	RewriteDelay() time.Duration
}

// Recorder writes blocks to the store and reads them at the start.
type Recorder struct {
	store   store.Store
	log     *event.Logger
	blocks  Blocks
	changes chan change
	// restored gets a value when the store was restored from an older copy.
	restored chan struct{}
}

// NewRecorder returns a recorder, which does nothing until Run.
func NewRecorder(st store.Store, l *event.Logger, b Blocks) *Recorder {
	return &Recorder{store: st, log: l, blocks: b, changes: make(chan change, changesMax), restored: make(chan struct{}, 1)}
}

// Restored tells that the store was restored from an older copy.
func (r *Recorder) Restored() {
	select {
	case r.restored <- struct{}{}:
	default: // an earlier one is still to be handled
	}
}

// Record asks for a block to be written to the store, or deleted there.
func (r *Recorder) Record(b poison.Block, lifted bool) {
	select {
	case r.changes <- change{Block: b, lifted: lifted}:
	default:
		r.log.Log(event.StoreDown, "sort", Kind, "error", "too many changes wait")
	}
}

// Run reads the recorded blocks and then writes changes until ctx ends. After a restore of the store it reads the
// blocks again and writes those that are missing.
func (r *Recorder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		_, err := r.readBlocks(ctx)
		if err == nil {
			break
		}
		r.log.Log(event.StoreDown, "sort", Kind, "error", err)
		pause(ctx, storeRetry)
	}
	rewrite := time.NewTimer(0)
	rewrite.Stop()
	defer rewrite.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-r.changes:
			r.writeBlockChange(ctx, c)
		case <-r.restored:
			rewrite.Reset(r.blocks.RewriteDelay())
		case <-rewrite.C:
			if err := r.rewriteBlocks(ctx); err != nil {
				r.log.Log(event.StoreDown, "sort", Kind, "error", err)
				rewrite.Reset(storeRetry)
			}
		}
	}
}

// readBlocks reads the recorded blocks and deletes those that ended long ago. It returns the ends of the others by
// their names. A block that a restore brought back after it was lifted is lifted again.
func (r *Recorder) readBlocks(ctx context.Context) (ends map[string]time.Time, err error) {
	list, _, err := r.store.List(ctx, Kind)
	if err != nil {
		return nil, err
	}
	ends = make(map[string]time.Time, len(list))
	now := time.Now()
	for _, o := range list {
		var v record
		if err := json.Unmarshal(o.Value, &v); err != nil {
			r.log.Log(event.StoreDown, "sort", Kind, "name", o.Name, "error", err)
			continue
		}
		b := poison.Block{Features: v.Features, At: now, Until: now.Add(time.UnixMilli(v.Until).Sub(now))}
		if age := now.Sub(time.UnixMilli(v.At)); age > 0 {
			b.At = now.Add(-age)
		}
		if now.Sub(b.Until) > poison.RenewTime {
			_ = r.store.Delete(ctx, o) // another router may have deleted it, or the next start does
			continue
		}
		ends[o.Name] = b.Until
		r.blocks.MergeBlock(b)
	}
	return ends, nil
}

// rewriteBlocks writes the blocks in force that the store lacks, or has with an earlier end.
func (r *Recorder) rewriteBlocks(ctx context.Context) error {
	ends, err := r.readBlocks(ctx)
	if err != nil {
		return err
	}
	for _, b := range r.blocks.InForce() {
		name := objectName(b.Features)
		if b.Until.Sub(ends[name]) < endSlack {
			continue
		}
		r.log.Log(event.RecordWrittenAgain, "sort", Kind, "name", name)
		if err = r.writeBlock(ctx, change{Block: b}); err != nil {
			return err
		}
	}
	return nil
}

// writeBlockChange writes a change; it gives up after some tries.
func (r *Recorder) writeBlockChange(ctx context.Context, c change) {
	for range writeTries {
		err := r.writeBlock(ctx, c)
		if err == nil || ctx.Err() != nil {
			return
		}
		r.log.Log(event.StoreDown, "sort", Kind, "error", err)
		pause(ctx, storeRetry)
	}
}

func (r *Recorder) writeBlock(ctx context.Context, c change) (err error) {
	defer func() { err = errors.WithMessage(err, "write block") }()
	v, err := json.Marshal(record{Features: c.Features, At: c.At.UnixMilli(), Until: c.Until.UnixMilli()})
	if err != nil {
		return err
	}
	o := store.Object{Kind: Kind, Name: objectName(c.Features), Value: v}
	if !c.lifted {
		if _, err = r.store.Create(ctx, o); !errors.Is(err, store.ErrExists) {
			return err
		}
	}
	old, err := r.store.Get(ctx, Kind, o.Name)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if c.lifted {
		err = r.store.Delete(ctx, old)
	} else {
		o.Rev = old.Rev
		_, err = r.store.Update(ctx, o)
	}
	if errors.Is(err, store.ErrConflict) {
		return nil // another router has just written the same
	}
	return err
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

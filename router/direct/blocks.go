package direct

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
	"hickoryvane.example/router/follow"
)

// Blocks in the store.
//
// Load pattern: all routers lose power while requests that crash targets go on coming. What the routers tell each
// other is lost then, and it would take as many crashes as before to learn it again.

const (
	// BlockKind is the kind of the objects in which routers record blocks.
	BlockKind = "blocks"
	// blockChangesMax limits the changes that wait to be written.
	blockChangesMax = 32
	// blockWriteTries is the number of tries to write a change; the other routers know it in any case.
	blockWriteTries = 5
	// blockEndSlack is the time by which a record may end before the block: clocks differ between routers.
	blockEndSlack = 10 * time.Second
)

// blockChange is a block that was added or lifted.
type blockChange struct {
	poison.Block
	lifted bool
}

// blockRecord is the value of a block's object. Times are in Unix milliseconds.
type blockRecord struct {
	Features []ident.Fingerprint `json:"features"`
	At       int64               `json:"at"`
	Until    int64               `json:"until"`
}

// blockName returns the name of a block's object.
func blockName(features []ident.Fingerprint) string {
	b, _ := json.Marshal(features) // integers cannot fail
	return strconv.FormatUint(uint64(ident.FingerprintOf("", b)), 16)
}

// recordBlock asks for a block to be written to the store, or deleted there; r.mu is held.
func (r *Router) recordBlock(b poison.Block, lifted bool) {
	select {
	case r.blockChanges <- blockChange{Block: b, lifted: lifted}:
	default:
		r.log.Log(event.StoreDown, "sort", BlockKind, "error", "too many changes wait")
	}
}

// keepBlocks reads the recorded blocks and then writes changes until ctx ends. After a restore of the store it reads the
// blocks again and writes those that are missing.
func (r *Router) keepBlocks(ctx context.Context) error {
	for ctx.Err() == nil {
		_, err := r.readBlocks(ctx)
		if err == nil {
			break
		}
		r.log.Log(event.StoreDown, "sort", BlockKind, "error", err)
		follow.Pause(ctx, follow.MaxRetry)
	}
	rewrite := time.NewTimer(0)
	rewrite.Stop()
	defer rewrite.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-r.blockChanges:
			r.writeBlockChange(ctx, c)
		case <-r.storeRestored:
			rewrite.Reset(r.rewriteDelay())
		case <-rewrite.C:
			if err := r.rewriteBlocks(ctx); err != nil {
				r.log.Log(event.StoreDown, "sort", BlockKind, "error", err)
				rewrite.Reset(follow.MaxRetry)
			}
		}
	}
}

// readBlocks reads the recorded blocks and deletes those that ended long ago. It returns the ends of the others by
// their names. A block that a restore brought back after it was lifted is lifted again.
func (r *Router) readBlocks(ctx context.Context) (ends map[string]time.Time, err error) {
	list, _, err := r.store.List(ctx, BlockKind)
	if err != nil {
		return nil, err
	}
	ends = make(map[string]time.Time, len(list))
	now := time.Now()
	for _, o := range list {
		var v blockRecord
		if err := json.Unmarshal(o.Value, &v); err != nil {
			r.log.Log(event.StoreDown, "sort", BlockKind, "name", o.Name, "error", err)
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
		r.mu.Lock()
		r.poison.MergeBlock(now, b)
		r.mu.Unlock()
	}
	return ends, nil
}

// rewriteBlocks writes the blocks in force that the store lacks, or has with an earlier end.
func (r *Router) rewriteBlocks(ctx context.Context) error {
	ends, err := r.readBlocks(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	blocks := r.poison.Blocks(time.Now())
	r.mu.Unlock()
	for _, b := range blocks {
		name := blockName(b.Features)
		if b.Until.Sub(ends[name]) < blockEndSlack {
			continue
		}
		r.log.Log(event.RecordWrittenAgain, "sort", BlockKind, "name", name)
		if err = r.writeBlock(ctx, blockChange{Block: b}); err != nil {
			return err
		}
	}
	return nil
}

// writeBlockChange writes a change; it gives up after some tries.
func (r *Router) writeBlockChange(ctx context.Context, c blockChange) {
	for range blockWriteTries {
		err := r.writeBlock(ctx, c)
		if err == nil || ctx.Err() != nil {
			return
		}
		r.log.Log(event.StoreDown, "sort", BlockKind, "error", err)
		follow.Pause(ctx, follow.MaxRetry)
	}
}

func (r *Router) writeBlock(ctx context.Context, c blockChange) (err error) {
	defer func() { err = errors.WithMessage(err, "write block") }()
	v, err := json.Marshal(blockRecord{Features: c.Features, At: c.At.UnixMilli(), Until: c.Until.UnixMilli()})
	if err != nil {
		return err
	}
	o := store.Object{Kind: BlockKind, Name: blockName(c.Features), Value: v}
	if !c.lifted {
		if _, err = r.store.Create(ctx, o); !errors.Is(err, store.ErrExists) {
			return err
		}
	}
	old, err := r.store.Get(ctx, BlockKind, o.Name)
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

package admin

import (
	"context"
	"time"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ring"
)

// askTimeout bounds the wait of an operator for the goroutine that owns a core.
const askTimeout = 2 * time.Second

// Ask reads the status of a core through the inbox of the goroutine that owns it; ok is false when it does
// not answer in time.
func QueryStatus[C any, In ~func(time.Time, C)](ctx context.Context, inbox *ring.Ring[In], read func(C) conf.Status) (st conf.Status, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	out := make(chan conf.Status, 1)
	if inbox.Put(ctx, func(_ time.Time, c C) { out <- read(c) }) != nil {
		return st, false
	}
	select {
	case st = <-out:
		return st, true
	case <-ctx.Done():
		return st, false
	}
}

package links

import (
	"context"
	"math/rand/v2"
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/wire"
)

const (
	// dialPause and dialPauseMax bound the pause between two attempts to reach a peer.
	firstDialPause = 100 * time.Millisecond
	dialPauseMax   = 2 * time.Second
)

// Want replaces the set of addresses that this process keeps connections to. A connection whose address
// is no longer wanted ends.
func (l *Links) SetAddresses(ctx context.Context, addrs []string) {
	keep := make(map[string]bool, len(addrs))
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range addrs {
		keep[a] = true
		if l.cancelDial[a] != nil || ctx.Err() != nil {
			continue
		}
		dctx, stop := context.WithCancel(ctx)
		l.cancelDial[a] = stop
		l.dialLoops.Add(1)
		go l.dialLoop(dctx, a)
	}
	for a, stop := range l.cancelDial {
		if !keep[a] {
			stop()
			delete(l.cancelDial, a)
		}
	}
}

// Wait returns when all dial loops have ended; their contexts must have ended before.
func (l *Links) Wait() { l.dialLoops.Wait() }

func (l *Links) dialLoop(ctx context.Context, addr string) {
	defer l.dialLoops.Done()
	pause := firstDialPause
	for ctx.Err() == nil {
		began := time.Now()
		c, err := wire.Dial(ctx, addr, l.auth, l.hello(), l.logBadFrame)
		if err != nil {
			l.log.Log(event.PeerUnreachable, "address", addr, "error", err)
		} else {
			l.serve(ctx, c, addr)
		}
		if time.Since(began) > dialPauseMax {
			pause = firstDialPause
		}
		wait := pause/2 + rand.N(pause) // jitter keeps routers from dialing a restarted agent at once
		pause = min(2*pause, dialPauseMax)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

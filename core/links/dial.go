package links

import (
	"context"
	"math/rand/v2"
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/wire"
)

const (
	// firstDialPause and dialPauseMax limit the pause between two attempts to connect to a peer; jitter then makes it
	// half to one and a half times as long.
	firstDialPause = 100 * time.Millisecond
	dialPauseMax   = 2 * time.Second
)

// SetAddresses replaces the set of addresses to which this process maintains connections. A connection to an
// address that is no longer in the set is closed.
func (l *Links) SetAddresses(ctx context.Context, addrs []string) {
	wanted := make(map[string]bool, len(addrs))
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, addr := range addrs {
		wanted[addr] = true
		if l.cancelDial[addr] != nil || ctx.Err() != nil {
			continue
		}
		dctx, cancel := context.WithCancel(ctx)
		l.cancelDial[addr] = cancel
		l.dialLoops.Add(1)
		go l.dialLoop(dctx, addr)
	}
	for addr, cancel := range l.cancelDial {
		if !wanted[addr] {
			cancel()
			delete(l.cancelDial, addr)
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
		c, err := wire.Dial(ctx, addr, l.auth, l.hello(), l.logMalformedFrame)
		if err != nil {
			l.log.Log(event.PeerUnreachable, "address", addr, "error", err)
		} else {
			l.serve(ctx, c, addr)
		}
		if time.Since(began) > dialPauseMax {
			pause = firstDialPause
		}
		delay := pause/2 + rand.N(pause) // jitter prevents all routers from dialing a restarted agent at once
		pause = min(2*pause, dialPauseMax)
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

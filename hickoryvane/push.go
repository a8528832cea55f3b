package main

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

const (
	// operatorName is the origin of the facts that operators send, and operatorRole their role.
	operatorName = "operator"
	operatorRole = "operator"
	// pollTime is the time between questions whether a configuration is in force.
	pollInterval = 100 * time.Millisecond
)

var errNotInForce = errors.New("generation is not in force")

// push sends a configuration to the process at addr and returns nil once the generation, or a higher one, is
// in force there. A process that cannot be reached may still receive it from its peers, so that only its
// status decides. The connection stays open until then, because closing it may lose a queued message.
func push(ctx context.Context, addr string, auth wire.Auth, m *wire.Gossip, want ident.Generation) (err error) {
	defer func() { err = errors.WithMessagef(err, "push to %s", addr) }()
	c, err := dial(ctx, addr, auth, want)
	if err != nil {
		if awaitGeneration(ctx, addr, want) == nil {
			return nil
		}
		return err
	}
	ended := make(chan struct{})
	go discardMessages(ctx, c, ended)
	defer func() {
		c.Close()
		<-ended
	}()
	if err = c.Send(m); err != nil {
		return err
	}
	return awaitGeneration(ctx, addr, want)
}

func dial(ctx context.Context, addr string, auth wire.Auth, want ident.Generation) (*wire.Conn, error) {
	hello := wire.Hello{Process: operatorName, Role: operatorRole, Boot: ident.BootAt(time.Now()), Generation: want}
	return wire.Dial(ctx, addr, auth, hello, nil)
}

// read drops what the process sends; without it, the process's messages and pings would block.
func discardMessages(ctx context.Context, c *wire.Conn, ended chan<- struct{}) {
	defer close(ended)
	for {
		if _, err := c.Recv(ctx); err != nil {
			return
		}
	}
}

// await asks the process until the generation is in force there or ctx ends.
func awaitGeneration(ctx context.Context, addr string, want ident.Generation) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	var last error
	for {
		s, err := fetchStatus(ctx, addr)
		switch {
		case err == nil && s.Generation >= want:
			return nil
		case err == nil:
			last = errors.Wrapf(errNotInForce, "the process has generation %d", s.Generation)
		case last == nil || ctx.Err() == nil:
			last = err
		}
		select {
		case <-ctx.Done():
			return last
		case <-tick.C:
		}
	}
}

// factOf returns the message that carries a configuration. Its version is the generation, so that the facts
// of several operators are ordered without comparing their clocks.
func configMessage(cfg conf.Config) (m *wire.Gossip, err error) {
	value, err := conf.Encode(cfg)
	if err != nil {
		return nil, err
	}
	f := facts.NewRankedEntry(facts.KindConfig, conf.ConfigName, operatorName, uint64(cfg.Generation), value)
	return &wire.Gossip{Entries: []wire.GossipEntry{f}}, nil
}

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
	// operatorName is the origin of the gossip entries that operators send, operatorRole the role in their Hello.
	operatorName = "operator"
	operatorRole = "operator"
	// pollInterval is the interval at which a process is asked whether a configuration is in force.
	pollInterval = 100 * time.Millisecond
)

var errNotInForce = errors.New("generation is not in force")

// push sends a configuration to the process at addr and returns nil once the generation, or a higher one, is
// in force there. Only the status of the process decides, because a process to which no connection can be opened
// may still receive the configuration from its peers. The connection stays open until then, because closing it may
// lose a queued message.
func push(ctx context.Context, addr string, auth wire.Auth, m *wire.Gossip, generation ident.Generation) (err error) {
	defer func() { err = errors.WithMessagef(err, "push to %s", addr) }()
	c, err := dial(ctx, addr, auth, generation)
	if err != nil {
		if awaitGeneration(ctx, addr, generation) == nil {
			return nil
		}
		return err
	}
	closed := make(chan struct{})
	go discardMessages(ctx, c, closed)
	defer func() {
		c.Close()
		<-closed
	}()
	if err = c.Send(m); err != nil {
		return err
	}
	return awaitGeneration(ctx, addr, generation)
}

func dial(ctx context.Context, addr string, auth wire.Auth, generation ident.Generation) (*wire.Conn, error) {
	hello := wire.Hello{Process: operatorName, Role: operatorRole, Boot: ident.BootAt(time.Now()), Generation: generation}
	return wire.Dial(ctx, addr, auth, hello, nil)
}

// discardMessages receives and discards the messages of the process. Without it, the messages and pings of the
// process would block.
func discardMessages(ctx context.Context, c *wire.Conn, closed chan<- struct{}) {
	defer close(closed)
	for {
		if _, err := c.Recv(ctx); err != nil {
			return
		}
	}
}

// awaitGeneration polls the status of the process until the generation is in force there or ctx ends.
func awaitGeneration(ctx context.Context, addr string, generation ident.Generation) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	var lastErr error
	for {
		s, err := fetchStatus(ctx, addr)
		switch {
		case err == nil && s.Generation >= generation:
			return nil
		case err == nil:
			lastErr = errors.Wrapf(errNotInForce, "the process has generation %d", s.Generation)
		case lastErr == nil || ctx.Err() == nil:
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return lastErr
		case <-tick.C:
		}
	}
}

// configMessage returns the message with a configuration as a gossip entry. The version of the entry is the
// generation, so that the entries of several operators are ordered without comparing their clocks.
func configMessage(cfg conf.Config) (m *wire.Gossip, err error) {
	value, err := conf.Encode(cfg)
	if err != nil {
		return nil, err
	}
	f := facts.NewRankedEntry(facts.KindConfig, conf.ConfigName, operatorName, uint64(cfg.Generation), value)
	return &wire.Gossip{Entries: []wire.GossipEntry{f}}, nil
}

// Package group starts the goroutines of a process and collects their results.
package group

import (
	"context"

	"github.com/pkg/errors"
)

// Exit is the result of one goroutine that has returned.
type Exit struct {
	Name string
	Err  error
}

// Group is a set of goroutines with one owner. Only the owner calls its methods.
type Group struct {
	exits chan Exit
	// running is the number of goroutines whose exit has not been read yet.
	running int
}

// New returns an empty group.
func New() *Group { return &Group{exits: make(chan Exit)} }

// Go starts f as a goroutine; f returns when ctx ends, if not before.
func (g *Group) Go(ctx context.Context, name string, f func(context.Context) error) {
	g.running++
	go func() { g.exits <- Exit{Name: name, Err: f(ctx)} }()
}

// Exits returns the channel on which each goroutine reports its exit once. The owner calls CountExit for each exit
// that it receives.
func (g *Group) Exits() <-chan Exit { return g.exits }

// CountExit counts an exit that was read from Exits.
func (g *Group) CountExit() { g.running-- }

// Wait waits for all goroutines and returns the first error other than context.Canceled.
func (g *Group) Wait() (err error) {
	for g.running > 0 {
		e := <-g.exits
		g.running--
		if err == nil && e.Err != nil && !errors.Is(e.Err, context.Canceled) {
			err = errors.WithMessage(e.Err, e.Name)
		}
	}
	return err
}

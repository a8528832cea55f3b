// Package group starts the goroutines of a process and collects their ends.
package group

import (
	"context"

	"github.com/pkg/errors"
)

// End is the end of one goroutine.
type Exit struct {
	Name string
	Err  error
}

// Group is a set of goroutines with one owner. Only the owner calls its methods.
type Group struct {
	exits chan Exit
	// n is the number of goroutines whose end was not read yet.
	running int
}

// New returns an empty group.
func New() *Group { return &Group{exits: make(chan Exit)} }

// Go starts f as a goroutine that ends with ctx at the latest.
func (g *Group) Go(ctx context.Context, name string, f func(context.Context) error) {
	g.running++
	go func() { g.exits <- Exit{Name: name, Err: f(ctx)} }()
}

// Ends returns the channel on which each goroutine reports its end once. The owner calls Seen for each.
func (g *Group) Exits() <-chan Exit { return g.exits }

// Seen counts an end that was read from Ends.
func (g *Group) CountExit() { g.running-- }

// Wait reads the ends of all goroutines and returns the first error other than the end of a context.
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

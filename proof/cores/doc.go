// Package cores holds the property tests that join the cores of routers and agents in memory.
package cores

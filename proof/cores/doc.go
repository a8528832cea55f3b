// Package cores holds property tests that connect the cores of routers and agents in memory.
package cores

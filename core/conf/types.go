// Package conf holds the operators' declarations and the settings of processes: their types,
// reading, merging, checking and comparing.
package conf

import (
	"time"

	"hickoryvane.example/core/ident"
)

// Config is one complete, merged configuration. It is immutable once accepted.
type Config struct {
	// Generation is zero until the configuration is accepted; it grows by one with each acceptance.
	Generation ident.Generation `json:"generation,omitempty"`
	// Attempt identifies the apply that wrote this configuration, so that a lost answer can be resolved.
	Attempt    string    `json:"attempt,omitempty"`
	Deployment string    `json:"deployment"`
	Regions    []Region  `json:"regions"`
	Tiers      []Tier    `json:"tiers"`
	Accounts   []Account `json:"accounts"`
	Services   []Service `json:"services"`
	Targets    []Target  `json:"targets"`
	Moves      []Move    `json:"moves,omitempty"`
	Limits     Limits    `json:"limits"`
}

// Region is a set of data centres that share fast links.
type Region struct {
	Name    ident.Region       `json:"name"`
	Centres []ident.DataCentre `json:"centres"`
}

// Tier is a priority tier. Its rank is its position by Rank; 0 is served first and shed last.
type Tier struct {
	Name string     `json:"name"`
	Rank ident.Tier `json:"rank"`
	// Wait is the default time to the first byte after which a request of the tier is refused.
	Wait Millis `json:"wait"`
}

// Account is a client account.
type Account struct {
	Name ident.AccountID `json:"name"`
	// Keys are SHA-256 hashes of the account's keys, as 64 hexadecimal digits.
	Keys []string `json:"keys"`
	// Rate is the limit in tokens per second over all routers; zero means no limit.
	Rate ident.Tokens `json:"rate"`
	// Burst is the number of tokens that may be used at once.
	Burst ident.Tokens `json:"burst"`
	// Weight is the account's share relative to the others; at least 1.
	Weight int `json:"weight"`
	// Tier is the name of the tier used when a request names none.
	Tier string `json:"tier"`
	// Tiers are the names of the tiers that the account may use.
	Tiers []string `json:"tiers"`
}

// ServiceKind tells model services from plain ones.
type ServiceKind string

// Service kinds.
const (
	Model ServiceKind = "model"
	Plain ServiceKind = "plain"
)

// Service is a pool of targets behind one name.
type Service struct {
	Name ident.Service `json:"name"`
	Kind ServiceKind   `json:"kind"`
	// Versions are the versions that targets may run.
	Versions []ident.Version `json:"versions"`
	// Current is the version that serves when no move is recorded as done.
	Current ident.Version `json:"current"`
	Routes  []Route       `json:"routes"`
	// Models are the names by which callers ask for a model service; the service's name is always one.
	Models []string `json:"models,omitempty"`
}

// Route is one kind of call of a service.
type Route struct {
	Name   ident.Route `json:"name"`
	Method string      `json:"method"`
	// Path is the exact path, or a prefix when it ends in "/".
	Path string `json:"path"`
	// Repeat is true when the call is idempotent and may be retried elsewhere.
	Repeat bool `json:"repeat"`
	// Tier overrides the account's default tier.
	Tier string `json:"tier,omitempty"`
}

// Target is a back end on one VM.
type Target struct {
	Name ident.TargetID `json:"name"`
	// VM is the name of the VM, which is also the process id of the agent beside the target.
	VM      ident.ProcessID  `json:"vm"`
	Centre  ident.DataCentre `json:"centre"`
	Service ident.Service    `json:"service"`
	Version ident.Version    `json:"version"`
	Class   ident.Class      `json:"class"`
	// Fenced is true when the target refuses orders with an old fencing number.
	Fenced bool `json:"fenced"`
	// Guarded is true when the target checks who gives an order.
	Guarded bool `json:"guarded"`
}

// Move is a planned change of a service from one version to another.
type Move struct {
	Name    ident.Move    `json:"name"`
	Service ident.Service `json:"service"`
	From    ident.Version `json:"from"`
	To      ident.Version `json:"to"`
	// Deadline is the time by which the move is done or taken back.
	Deadline time.Time `json:"deadline"`
	// Cancelled is set by an operator to take the move back.
	Cancelled bool `json:"cancelled,omitempty"`
}

// Limits bounds what the deployment uses of shared resources.
type Limits struct {
	// Link is the request traffic allowed over the region link, in bytes per second for all routers of a region.
	Link ident.Bytes `json:"link"`
	// Claims is the rate of claims in the object API, per second for all routers.
	Claims int `json:"claims"`
	// Loads is the rate of weight loads, per minute for the deployment.
	Loads int `json:"loads"`
}

// Millis is a duration in milliseconds.
type Millis int64

// Duration returns m as a duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

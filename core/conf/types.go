// Package conf defines the operators' declarations and the settings of processes, and reads, merges, checks
// and compares them. The program hickoryvane makes merged declarations the accepted configuration in the object
// API (Apply); agents and the routers that work with them hold the configuration in force (Holder) and look entries
// up in its Index.
package conf

import (
	"time"

	"hickoryvane.example/core/ident"
)

// The rules of declarations and settings are defined by their struct tags only: unit, default, limit (the range
// of a number, of the length of a list or of the length of a text), form (the format of a text or of each text
// in a list), one (the allowed words), need (required) and set (written by the named component, not allowed in
// files). A test compares docs/CONFIG.md with them.

// Config is one complete, merged configuration. It is immutable once accepted.
type Config struct {
	// Generation is zero until the configuration is accepted; it increases with each acceptance,
	// by one unless the stored object was lost or reverted.
	Generation ident.Generation `json:"generation,omitempty" set:"apply"`
	// Attempt identifies the apply that wrote this configuration, so that an apply whose answer was lost can find
	// out whether it was accepted.
	Attempt string `json:"attempt,omitempty" set:"apply"`
	// PastAttempts holds the attempts of the generations before this one, newest first, at most PastAttemptsMax.
	// In it, an apply whose answer was lost finds its attempt even if another apply has followed.
	PastAttempts []string `json:"past,omitempty" set:"apply"`
	// Deployment is the name of the deployment, which its processes authenticate to each other.
	Deployment string    `json:"deployment" need:"yes" form:"name"`
	Regions    []Region  `json:"regions" need:"yes" limit:"1..8"`
	Tiers      []Tier    `json:"tiers" need:"yes" limit:"1..16"`
	Accounts   []Account `json:"accounts" need:"yes" limit:"1..1000"`
	Services   []Service `json:"services" need:"yes" limit:"1..64"`
	Targets    []Target  `json:"targets" need:"yes" limit:"1..4096"`
	Rollouts   []Rollout `json:"moves,omitempty" limit:"0..256"`
	Limits     Limits    `json:"limits"`
}

// Region is a set of data centres with fast links between them.
type Region struct {
	Name    ident.Region       `json:"name" need:"yes" form:"name"`
	Centres []ident.DataCentre `json:"centres" need:"yes" limit:"1..16" form:"name"`
}

// Tier is a priority tier. Tiers are ordered by Rank; rank 0 is served first and shed last.
type Tier struct {
	Name string     `json:"name" need:"yes" form:"name"`
	Rank ident.Tier `json:"rank" need:"yes" limit:"0..15"`
	// Wait is the default time to the first byte after which a request of the tier is refused.
	Wait Millis `json:"wait" unit:"ms" default:"10000" limit:"1..600000"`
}

// Account is a client account.
type Account struct {
	Name ident.AccountID `json:"name" need:"yes" form:"name"`
	// Keys are SHA-256 hashes of the account's keys, as 64 hexadecimal digits.
	Keys []string `json:"keys" need:"yes" limit:"1..8" form:"hash"`
	// Rate is the limit in tokens per second over all routers; zero means no limit.
	Rate ident.Tokens `json:"rate" unit:"tokens/s" default:"0" limit:"0..1000000000"`
	// Burst is the number of tokens that may be used at once; at least 1 when there is a rate.
	Burst ident.Tokens `json:"burst" unit:"tokens" default:"0" limit:"0..1000000000"`
	// Weight is the weight of the account's share relative to other accounts; at least 1.
	Weight int `json:"weight" default:"1" limit:"1..1000"`
	// Tier is the name of the tier used when a request names none.
	Tier string `json:"tier" need:"yes" form:"name"`
	// Tiers are the names of the tiers that the account may use.
	Tiers []string `json:"tiers" need:"yes" limit:"1..16" form:"name"`
}

// ServiceKind distinguishes model services from plain ones.
type ServiceKind string

// Service kinds.
const (
	ModelService ServiceKind = "model"
	PlainService ServiceKind = "plain"
)

// Service is a pool of targets under one name.
type Service struct {
	Name ident.Service `json:"name" need:"yes" form:"name"`
	Kind ServiceKind   `json:"kind" need:"yes" one:"model plain"`
	// Versions are the versions that targets may run.
	Versions []ident.Version `json:"versions" need:"yes" limit:"1..16" form:"name"`
	// Current is the version that serves as long as no rollout is recorded as done.
	Current ident.Version `json:"current" need:"yes" form:"name"`
	Routes  []Route       `json:"routes" need:"yes" limit:"1..64"`
	// Models are the names by which callers address a model service; the service's own name is always one.
	Models []string `json:"models,omitempty" limit:"0..64" form:"label"`
}

// Route is one type of call to a service.
type Route struct {
	Name   ident.Route `json:"name" need:"yes" form:"name"`
	Method string      `json:"method" need:"yes" one:"GET HEAD POST PUT PATCH DELETE"`
	// Path is the exact path, or a prefix when it ends in "/".
	Path string `json:"path" need:"yes" form:"path"`
	// Model restricts the route to calls with this model name; empty means every model name of the service.
	Model string `json:"model,omitempty" form:"label"`
	// Idempotent is true when the call may be retried at another target.
	Idempotent bool `json:"repeat" default:"false"`
	// Tier overrides the account's default tier.
	Tier string `json:"tier,omitempty" form:"name"`
}

// Target is a back-end server on one VM.
type Target struct {
	Name ident.TargetID `json:"name" need:"yes" form:"name"`
	// VM is the name of the VM, which is also the process id of the agent beside the target.
	VM      ident.ProcessID  `json:"vm" need:"yes" form:"name"`
	Centre  ident.DataCentre `json:"centre" need:"yes" form:"name"`
	Service ident.Service    `json:"service" need:"yes" form:"name"`
	Version ident.Version    `json:"version" need:"yes" form:"name"`
	// Class is the hardware class; targets of one class have similar speeds.
	Class ident.Class `json:"class" need:"yes" form:"name"`
	// ChecksFencingToken is true when the target refuses commands with an outdated fencing token.
	ChecksFencingToken bool `json:"fenced" default:"false"`
	// ChecksSender is true when the target authenticates the sender of a command.
	ChecksSender bool `json:"guarded" default:"false"`
}

// Rollout is a planned change of a service from one version to another.
type Rollout struct {
	Name    ident.Rollout `json:"name" need:"yes" form:"name"`
	Service ident.Service `json:"service" need:"yes" form:"name"`
	From    ident.Version `json:"from" need:"yes" form:"name"`
	To      ident.Version `json:"to" need:"yes" form:"name"`
	// Deadline is the time by which the rollout is either done or rolled back.
	Deadline time.Time `json:"deadline" need:"yes" form:"time"`
	// Cancelled is set by an operator to roll back.
	Cancelled bool `json:"cancelled,omitempty" default:"false"`
}

// Limits bounds the deployment's use of shared resources.
type Limits struct {
	// LinkBytesPerSecond bounds the request traffic over the link between regions, for all routers of a region
	// together.
	LinkBytesPerSecond ident.Bytes `json:"link" unit:"bytes/s" default:"1250000" limit:"0..1000000000"`
	// ClaimsPerSecond bounds the claims in the object API, for all routers together.
	ClaimsPerSecond int `json:"claims" unit:"claims/s" default:"100" limit:"1..1000"`
	// LoadsPerMinute bounds the loads of model weights in the deployment.
	LoadsPerMinute int `json:"loads" unit:"loads/min" default:"60" limit:"1..10000"`
}

// PastAttemptsMax bounds Config.PastAttempts; at 690 changes a day it covers far more than the duration of one
// apply.
const PastAttemptsMax = 16

// Millis is a duration in milliseconds.
type Millis int64

// Duration returns m as a duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

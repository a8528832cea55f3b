package conf

import (
	"time"

	"hickoryvane.example/core/ident"
)

// Names under which a configuration is stored in the object API and gossiped, and a status is served.
const (
	// ConfigKind and ConfigName are the kind and name of the configuration's object, and the kind and key of its
	// gossip entry.
	ConfigKind = "config"
	ConfigName = "config"
	// StatusPath is the HTTP path of Status on the admin address of a process.
	StatusPath = "/status"
)

// RolloutState is the state of a rollout.
type RolloutState string

// States of a rollout. Done and RolledBack are final.
const (
	Waiting    RolloutState = "waiting"
	Running    RolloutState = "running"
	Done       RolloutState = "done"
	RolledBack RolloutState = "taken back"
)

// Ended reports whether s is final.
func (s RolloutState) Ended() bool { return s == Done || s == RolledBack }

// Status is the status that a process reports about itself.
type Status struct {
	Process ident.ProcessID  `json:"process"`
	Role    string           `json:"role"`
	Boot    ident.Boot       `json:"boot"`
	Centre  ident.DataCentre `json:"centre"`
	// Generation is the generation of the configuration in force; zero means none.
	Generation ident.Generation `json:"generation"`
	Ready      bool             `json:"ready"`
	Rollouts   []RolloutStatus  `json:"moves"`
	// Sent and Received count the bytes of all messages to and from other processes since the process started.
	Sent     ident.Bytes `json:"sent"`
	Received ident.Bytes `json:"received"`
}

// RolloutStatus is the status of a rollout as known to one process, or as read from the record of its
// conclusion. A record does not hold From, To, Share and StartedAt.
type RolloutStatus struct {
	Name    ident.Rollout `json:"name"`
	Service ident.Service `json:"service"`
	From    ident.Version `json:"from"`
	To      ident.Version `json:"to"`
	State   RolloutState  `json:"state"`
	// Reason is why the rollout is rolled back; empty before the decision and for a completed rollout.
	Reason string `json:"reason"`
	// Share is the fraction of new sessions that the new version receives, from 0 to 1.
	Share float64 `json:"share"`
	// StartedAt and EndedAt are zero while the rollout has not started or ended.
	StartedAt time.Time `json:"began,omitzero"`
	EndedAt   time.Time `json:"ended,omitzero"`
	// Recorded is true when the conclusion was read from the object API. One that is only decided may change.
	Recorded bool `json:"recorded,omitempty"`
}

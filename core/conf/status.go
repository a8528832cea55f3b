package conf

import (
	"time"

	"hickoryvane.example/core/ident"
)

// Names under which a configuration is kept in the object API and spread as a fact, and a status is served.
const (
	// ConfigSort and ConfigName name the object of the configuration; as a fact, both are sort and key.
	ConfigKind = "config"
	ConfigName = "config"
	// StatusPath is the HTTP path of Status on the admin address of a process.
	StatusPath = "/status"
)

// MoveState is the state of a move.
type RolloutState string

// States of a move. Done and TakenBack are final.
const (
	Waiting    RolloutState = "waiting"
	Running    RolloutState = "running"
	Done       RolloutState = "done"
	RolledBack RolloutState = "taken back"
)

// Ended reports whether s is final.
func (s RolloutState) Ended() bool { return s == Done || s == RolledBack }

// Status is what a process reports of itself.
type Status struct {
	Process ident.ProcessID  `json:"process"`
	Role    string           `json:"role"`
	Boot    ident.Boot       `json:"boot"`
	Centre  ident.DataCentre `json:"centre"`
	// Generation is the one in force; zero means none.
	Generation ident.Generation `json:"generation"`
	Ready      bool             `json:"ready"`
	Rollouts   []RolloutStatus  `json:"moves"`
	// Sent and Received count the bytes of all messages to and from other processes since the start.
	Sent     ident.Bytes `json:"sent"`
	Received ident.Bytes `json:"received"`
}

// MoveStatus is the state of a move as one process knows it, or as read from its record. A record does not hold
// From, To, Share and Began.
type RolloutStatus struct {
	Name    ident.Rollout `json:"name"`
	Service ident.Service `json:"service"`
	From    ident.Version `json:"from"`
	To      ident.Version `json:"to"`
	State   RolloutState  `json:"state"`
	// Reason says why the move waits or was taken back.
	Reason string `json:"reason"`
	// Share is the part of new sessions that the new version receives, from 0 to 1.
	Share float64 `json:"share"`
	// Began and Ended are zero as long as the move has not begun or ended.
	Began time.Time `json:"began,omitzero"`
	Ended time.Time `json:"ended,omitzero"`
	// Recorded is true when the end was read from the object API. An end that is only decided may change.
	Recorded bool `json:"recorded,omitempty"`
}

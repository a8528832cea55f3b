package wire

import (
	"hickoryvane.example/core/ident"
)

// Beacon is the state that routers without agents send each other several times a second, one datagram
// each. A later beacon replaces an earlier one, so a lost one needs no repeat.
type Heartbeat struct {
	_struct bool `codec:",toarray"`

	Process ident.ProcessID
	Boot    ident.Boot
	// Seq grows with each beacon of a boot; older ones are ignored.
	Seq        ident.Seq
	Generation ident.Generation
	Region     ident.Region
	// Admin is the address at which the sender gives a snapshot of what it knows of the store.
	Admin string
	// Ready is true while callers may be sent to the sender.
	Ready bool
	// Linked is true while the sender reaches the store.
	StoreReachable bool
	Demands        []HeartbeatDemand
	Loads          []HeartbeatLoad
	Usage          []HeartbeatUsage
	// Down are targets that the sender found down a short time ago.
	DownTargets []HeartbeatDown
	// Prints are fingerprints of requests that were running when a target crashed.
	Fingerprints []HeartbeatFingerprint
	// Moves are the moves that the sender knows of.
	Rollouts []HeartbeatRollout
}

// BeaconMove is what the sender knows of a move of a service to the targets of a version.
type HeartbeatRollout struct {
	_struct bool `codec:",toarray"`

	Service ident.Service
	Version ident.Version
	// Length is the time from the order to its deadline, Age the time since the order, in milliseconds.
	DurationMillis, AgeMillis int64
	// Bad is the reason for which the sender judged the version bad; empty if it did not.
	BadReason string
	// Evidence are the outcomes at the sender.
	Evidence []byte
}

// BeaconDemand is what the sender needs of a service.
type HeartbeatDemand struct {
	_struct bool `codec:",toarray"`

	Service ident.Service
	// Mean is the mean number of requests that ran or waited, Waiting the number that waits now.
	Mean    float64
	Waiting int
}

// BeaconLoad is what the sender has at one target.
type HeartbeatLoad struct {
	_struct bool `codec:",toarray"`

	Service       ident.Service
	Target        ident.TargetID
	Running       int
	PendingPrompt ident.Tokens
}

// BeaconDown is a target that cannot be reached, or whose address another one has.
type HeartbeatDown struct {
	_struct bool `codec:",toarray"`

	Service ident.Service
	Target  ident.TargetID
}

// BeaconUse is the number of tokens that an account has taken at the sender since its boot.
type HeartbeatUsage struct {
	_struct bool `codec:",toarray"`

	Account ident.AccountID
	Tokens  ident.Tokens
}

// BeaconPrint says that a target crashed while a request ran.
type HeartbeatFingerprint struct {
	_struct bool `codec:",toarray"`

	Fingerprint ident.Fingerprint
	Target      ident.TargetID
	// Among is the number of requests that ran there.
	Running int
	// Age is the time since the crash in milliseconds.
	AgeMillis int64
}

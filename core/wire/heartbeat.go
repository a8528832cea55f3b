package wire

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
)

// Heartbeat is the state that routers that work without agents (package router/direct) send each other several
// times a second within a cell, in one datagram each. A later heartbeat replaces an earlier one, so a lost one is
// not sent again.
type Heartbeat struct {
	_struct bool `codec:",toarray"`

	Process ident.ProcessID
	Boot    ident.Boot
	// Seq grows with each heartbeat of a boot; heartbeats with a lower number are ignored.
	Seq        ident.Seq
	Generation ident.Generation
	Region     ident.Region
	// Admin is the address at which the sender serves a snapshot of its copy of the store.
	Admin string
	// Ready is true while callers may be routed to the sender.
	Ready bool
	// StoreReachable is true while the sender reaches the store.
	StoreReachable bool
	Demands        []HeartbeatDemand
	// Usage holds the accounts whose use changed lately. In every few heartbeats it holds all limited accounts, and
	// Levels the levels of their buckets in the same order; otherwise Levels is empty.
	Usage  []HeartbeatUsage
	Levels []ident.Tokens
	// Rates are those that targets state in their answers. Most heartbeats hold only what changed lately.
	Rates []HeartbeatRate
	// DownTargets are targets that the sender recently found down.
	DownTargets []HeartbeatDown
	// Crashes are recent crashes of targets. Passes and Blocks tell which requests did not cause them and which are
	// refused; older ones are only in some heartbeats.
	Crashes []HeartbeatCrash
	Passes  []HeartbeatPass
	Blocks  []HeartbeatBlock
	// Rollouts are the rollouts that the sender knows of.
	Rollouts []HeartbeatRollout
	// TargetRev is the newest revision of a registration of a target that the sender has read from the store, and
	// TargetCount the number of registrations.
	TargetRev   string
	TargetCount int
	// Leaving are targets that announced in their answers that they leave, while their registrations do not say so.
	Leaving []HeartbeatLeaving
	// Trials are the requests on trial that wait or run at the sender.
	Trials []HeartbeatTrial
	// Reads are parts of prompts that requests of the sender have read lately, Passed the tokens that they brought to
	// targets. Most heartbeats have none.
	Reads  []HeartbeatRead
	Passed []HeartbeatPassed
	// Centre is the data centre of the sender; Short is true while it is short of a resource.
	Centre ident.DataCentre
	Short  bool
	// Changes are the latest changes of registrations of targets that the sender has read, all those after the revision
	// ChangesSince. Only scouts send them; see package scout.
	ChangesSince string
	Changes      []HeartbeatChange
	// Evacuations are those that the sender knows of, also those that have ended.
	Evacuations []HeartbeatEvacuation
	// Cold are the targets that the sender itself knows to be cold, or to have restarted perhaps.
	Cold []HeartbeatCold
}

// StartKey stands for a start of a target with a version of the weights. A receiver ignores those that differ from what
// it knows of the target.
type StartKey uint32

// StartKeyOf returns the key of a start.
func StartKeyOf(b ident.Boot, v ident.Version) StartKey {
	return StartKey(xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, uint64(b)), v...)))
}

// HeartbeatRead is a part of a prompt that a target has read; see package prefix.
type HeartbeatRead struct {
	_struct bool `codec:",toarray"`

	Target TargetKey
	Start  StartKey
	Block  ident.Block
}

// HeartbeatPassed is the number of tokens that the sender's requests have brought to a start of a target.
type HeartbeatPassed struct {
	_struct bool `codec:",toarray"`

	Target TargetKey
	Start  StartKey
	Tokens ident.Tokens
}

// HeartbeatChange is a change of the registration of a target.
type HeartbeatChange struct {
	_struct bool `codec:",toarray"`

	Name, Rev string
	Deleted   bool
	Value     []byte
}

// HeartbeatCold is a target that is cold or may be.
type HeartbeatCold struct {
	_struct bool `codec:",toarray"`

	Target TargetKey
	// LeftMillis is the time until the target is warm; zero if it is not known to be cold.
	LeftMillis int64
	// RestartAgeMillis is the time since a supposed restart, RestartLeftMillis the time until that counts no more; zero if
	// there was none.
	RestartAgeMillis, RestartLeftMillis int64
	// Answered is true if the target has answered since a request that was sent AnsweredAgeMillis ago.
	Answered          bool
	AnsweredAgeMillis int64
}

// HeartbeatEvacuation is the evacuation of a data centre; see package avail.
type HeartbeatEvacuation struct {
	_struct bool `codec:",toarray"`

	Centre ident.DataCentre
	// Rev is the revision of the object, or one at which it did not exist any more if Lifted is true.
	Rev    string
	Lifted bool
	// HoldMillis is the time after which the evacuation ends because a restored store lacks it; zero if the store has it.
	HoldMillis int64
}

// HeartbeatTrial is a request on trial; see package poison.
type HeartbeatTrial struct {
	_struct bool `codec:",toarray"`

	Features []ident.Fingerprint
	Running  bool
}

// HeartbeatLeaving is a target that announced that it leaves.
type HeartbeatLeaving struct {
	_struct bool `codec:",toarray"`

	Target ident.TargetID
	// Boot is the process of the target that leaves.
	Boot ident.Boot
	// AgeMillis is the time since the announcement.
	AgeMillis int64
}

// HeartbeatRollout is what the sender knows of the rollout of a service to the targets of a version.
type HeartbeatRollout struct {
	_struct bool `codec:",toarray"`

	Service ident.Service
	Version ident.Version
	// DurationMillis is the time from the rollout request to its deadline, AgeMillis the time since the
	// request.
	DurationMillis, AgeMillis int64
	// BadReason is the reason for which the sender judged the version bad; empty if it did not.
	BadReason string
	// Evidence holds the outcomes counted at the sender, encoded.
	Evidence []byte
	// Gaps are the speeds of the targets of the version as the sender measured them.
	Gaps []HeartbeatGap
	// Ended is true once the sender knows the recorded end of the rollout. It then reports only BadReason, for
	// routers that learn of the end before they learn of the verdict.
	Ended bool
}

// HeartbeatDemand is the demand for a service at the sender.
type HeartbeatDemand struct {
	_struct bool `codec:",toarray"`

	Service ident.Service
	// Mean is the mean number of requests that ran or waited, Waiting the number that waits now.
	Mean    float32
	Waiting int
	// Loads omits targets without running requests.
	Loads []HeartbeatLoad
	// Urgent is the number of waiting requests that can still be on time.
	Urgent int
}

// TargetKey stands for the id of a target in heartbeats, of which there are many. A receiver ignores the keys of
// targets that it does not know, and those that two of its targets have in common.
type TargetKey uint32

// KeyOf returns the key of a target.
func KeyOf(id ident.TargetID) TargetKey { return TargetKey(xxhash.Sum64String(string(id))) }

// HeartbeatLoad is the load that the sender has placed on one target.
type HeartbeatLoad struct {
	_struct bool `codec:",toarray"`

	Target        TargetKey
	Running       int
	PendingPrompt ident.Tokens
	// GapMicros is the time between events at the target that the sender measured, in microseconds; zero if it has
	// not, and in most heartbeats.
	GapMicros int64
	// Held is the number of tokens of prompts and expected answers of the sender's requests at the target.
	Held ident.Tokens
}

// HeartbeatDown is a target that cannot be reached, or whose address is now used by another target.
type HeartbeatDown struct {
	_struct bool `codec:",toarray"`

	Service ident.Service
	Target  ident.TargetID
}

// HeartbeatUsage is the number of tokens that an account has used at the sender since the sender's boot.
type HeartbeatUsage struct {
	_struct bool `codec:",toarray"`

	Account ident.AccountID
	Tokens  ident.Tokens
}

// HeartbeatCrash is a crash of a target that the sender observed.
type HeartbeatCrash struct {
	_struct bool `codec:",toarray"`

	Target    ident.TargetID
	AgeMillis int64
	// Requests are those of the sender that were running on the target.
	Requests []HeartbeatSuspect
	// Silent is true if the target is not known to have ended.
	Silent bool
}

// HeartbeatSuspect is a request that was running on a target when it crashed; see package poison.
type HeartbeatSuspect struct {
	_struct bool `codec:",toarray"`

	Features []ident.Fingerprint
	Late     bool
	Trial    bool
}

// HeartbeatPass is the last time at which a request with a suspected feature did not crash its target.
type HeartbeatPass struct {
	_struct bool `codec:",toarray"`

	Feature   ident.Fingerprint
	AgeMillis int64
}

// HeartbeatBlock refuses the requests with all its features.
type HeartbeatBlock struct {
	_struct bool `codec:",toarray"`

	Features []ident.Fingerprint
	// AgeMillis is the time since the block, LeftMillis that until its end.
	AgeMillis, LeftMillis int64
}

// HeartbeatRate is the rate that a target states in its answers, and how much of it the sender has used.
type HeartbeatRate struct {
	_struct bool `codec:",toarray"`

	Target TargetKey
	// MilliPerSecond is the rate in thousandths of a request a second, zero if the target states none any more;
	// AgeMillis is the time since the newest answer.
	MilliPerSecond, AgeMillis int64
	// Sent counts the requests that the sender has sent to the target since it knows the rate.
	Sent uint64
}

// HeartbeatGap is the speed of a target: the mean natural logarithm of the times between events, in seconds.
type HeartbeatGap struct {
	_struct bool `codec:",toarray"`

	Target  TargetKey
	MeanLog float32
	// Answers is the number of answers that were measured.
	Answers int
}

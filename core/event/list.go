package event

import "github.com/charmbracelet/log"

// Events. 1xx process, 2xx wire and peers, 3xx configuration and store, 4xx requests, 5xx targets,
// 6xx rollouts, 7xx leases and commands.
const (
	Started               ID = 101
	Stopping              ID = 102
	Stopped               ID = 103
	Ready                 ID = 104
	Failed                ID = 105
	SettingsReloaded      ID = 106
	LinesDropped          ID = 107
	PeerUp                ID = 201
	PeerDown              ID = 202
	MalformedFrame        ID = 203
	PeerRejected          ID = 204
	RingFull              ID = 205
	PeerUnreachable       ID = 206
	CellChanged           ID = 207
	RouterShort           ID = 208
	ConfigInForce         ID = 301
	ConfigIgnored         ID = 302
	StoreDown             ID = 303
	StoreUp               ID = 304
	ConfigInvalid         ID = 305
	StoreHistoryLost      ID = 306
	StoreReadFromPeer     ID = 307
	WatchModeChanged      ID = 308
	WatchBehind           ID = 309
	StoreRestored         ID = 310
	RecordWrittenAgain    ID = 311
	ConfigBehind          ID = 312
	Seeded                ID = 313
	SeedRejected          ID = 314
	HomesInvalid          ID = 320
	EvacuationBegan       ID = 321
	EvacuationEnded       ID = 322
	EvacuationInvalid     ID = 323
	RequestRefused        ID = 401
	AnswerTruncated       ID = 402
	FingerprintBlocked    ID = 403
	AnswerResumed         ID = 404
	RequestPlaced         ID = 405
	RequestEnded          ID = 406
	RequestResent         ID = 407
	RequestTurnedAway     ID = 408
	RequestSuspected      ID = 409
	RequestsBlocked       ID = 410
	BlockLifted           ID = 411
	CallerClosed          ID = 412
	RequestUnsent         ID = 413
	SuspicionWeighed      ID = 414
	RequestOnTrial        ID = 415
	LimitReached          ID = 416
	RequestsOnTrial       ID = 417
	SilentTargetAsked     ID = 418
	TargetCrashed         ID = 501
	TargetUp              ID = 502
	TargetSlow            ID = 503
	TargetLeaving         ID = 504
	TargetDown            ID = 505
	TargetDeregistered    ID = 506
	TargetInvalid         ID = 507
	TargetMissing         ID = 508
	TargetRate            ID = 509
	TargetRateEnded       ID = 510
	ChangeUnreadable      ID = 511
	TargetAsksForTime     ID = 512
	TargetTimeIgnored     ID = 513
	TargetCold            ID = 520
	RolloutShareChanged   ID = 601
	VersionJudgedBad      ID = 602
	RolloutConcluded      ID = 603
	RolloutRequested      ID = 604
	RolloutRequestInvalid ID = 605
	LeaseAcquired         ID = 701
	LeaseLost             ID = 702
	CommandSent           ID = 703
	CommandRefused        ID = 704
)

var kindList = []Kind{
	{Started, log.InfoLevel, "process started"},
	{Stopping, log.InfoLevel, "graceful shutdown started"},
	{Stopped, log.InfoLevel, "process stopped"},
	{Ready, log.InfoLevel, "process is ready"},
	{Failed, log.ErrorLevel, "process failed"},
	{SettingsReloaded, log.InfoLevel, "settings read again"},
	{LinesDropped, log.WarnLevel, "log lines dropped"},
	{PeerUp, log.InfoLevel, "peer connected"},
	{PeerDown, log.WarnLevel, "peer connection lost"},
	{MalformedFrame, log.WarnLevel, "malformed frame dropped"},
	{PeerRejected, log.WarnLevel, "peer rejected"},
	{RingFull, log.WarnLevel, "ring is full"},
	{PeerUnreachable, log.DebugLevel, "peer cannot be reached"},
	{CellChanged, log.InfoLevel, "cell changed"},
	{RouterShort, log.WarnLevel, "shortage of a resource changed"},
	{ConfigInForce, log.InfoLevel, "configuration in force"},
	{ConfigIgnored, log.DebugLevel, "older configuration ignored"},
	{StoreDown, log.WarnLevel, "object API is not available"},
	{StoreUp, log.InfoLevel, "object API is available again"},
	{ConfigInvalid, log.ErrorLevel, "configuration from the object API is invalid"},
	{StoreHistoryLost, log.InfoLevel, "history of the object API is lost, list read again"},
	{StoreReadFromPeer, log.InfoLevel, "state of the object API read from a peer"},
	{WatchModeChanged, log.InfoLevel, "mode of the watches changed"},
	{WatchBehind, log.WarnLevel, "watch is behind that of a peer, list read again"},
	{StoreRestored, log.WarnLevel, "object API was restored from an older copy"},
	{RecordWrittenAgain, log.InfoLevel, "record missing in the object API is written again"},
	{ConfigBehind, log.WarnLevel, "newer configuration of a peer cannot be read"},
	{Seeded, log.InfoLevel, "long list read from a peer"},
	{SeedRejected, log.InfoLevel, "list of a peer is not used"},
	{HomesInvalid, log.WarnLevel, "home regions without a data centre ignored"},
	{EvacuationBegan, log.InfoLevel, "data centre is evacuated"},
	{EvacuationEnded, log.InfoLevel, "evacuation of a data centre ended"},
	{EvacuationInvalid, log.WarnLevel, "evacuation of an unknown data centre ignored"},
	{RequestRefused, log.DebugLevel, "request refused"},
	{AnswerTruncated, log.WarnLevel, "answer cut"},
	{FingerprintBlocked, log.WarnLevel, "request fingerprint blocked"},
	{AnswerResumed, log.DebugLevel, "answer resumed"},
	{RequestPlaced, log.InfoLevel, "request placed"},
	{RequestEnded, log.InfoLevel, "request ended"},
	{RequestResent, log.InfoLevel, "request sent again"},
	{RequestTurnedAway, log.InfoLevel, "request turned away"},
	{RequestSuspected, log.InfoLevel, "request suspected of a crash"},
	{RequestsBlocked, log.WarnLevel, "requests that crash targets blocked"},
	{BlockLifted, log.InfoLevel, "block of requests lifted"},
	{CallerClosed, log.DebugLevel, "resting connection of a caller closed"},
	{RequestUnsent, log.InfoLevel, "request not sent to its target"},
	{SuspicionWeighed, log.InfoLevel, "crashes weighed against requests"},
	{RequestOnTrial, log.InfoLevel, "request sent as a trial"},
	{LimitReached, log.WarnLevel, "connection of a caller reached a limit"},
	{RequestsOnTrial, log.InfoLevel, "requests put on trial"},
	{SilentTargetAsked, log.InfoLevel, "silent target asked for its state"},
	{TargetCrashed, log.WarnLevel, "target crashed"},
	{TargetUp, log.InfoLevel, "target is reachable"},
	{TargetSlow, log.WarnLevel, "target is slow"},
	{TargetLeaving, log.InfoLevel, "target is leaving"},
	{TargetDown, log.WarnLevel, "target does not answer"},
	{TargetDeregistered, log.InfoLevel, "target is no longer registered"},
	{TargetInvalid, log.WarnLevel, "registration of a target cannot be read"},
	{TargetMissing, log.InfoLevel, "registration of a target was removed without notice"},
	{TargetRate, log.InfoLevel, "target states a rate"},
	{TargetRateEnded, log.InfoLevel, "target states no rate any more"},
	{ChangeUnreadable, log.WarnLevel, "change of an object cannot be read"},
	{TargetAsksForTime, log.InfoLevel, "target asks for time"},
	{TargetTimeIgnored, log.WarnLevel, "time that a target asks for cannot be used"},
	{TargetCold, log.InfoLevel, "target is cold"},
	{RolloutShareChanged, log.InfoLevel, "move changed its share"},
	{VersionJudgedBad, log.WarnLevel, "version judged bad"},
	{RolloutConcluded, log.InfoLevel, "move ended"},
	{RolloutRequested, log.InfoLevel, "move ordered"},
	{RolloutRequestInvalid, log.WarnLevel, "order of a move cannot be read"},
	{LeaseAcquired, log.InfoLevel, "lease acquired"},
	{LeaseLost, log.WarnLevel, "lease lost"},
	{CommandSent, log.InfoLevel, "order sent to target"},
	{CommandRefused, log.WarnLevel, "order refused"},
}

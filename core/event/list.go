package event

import "github.com/charmbracelet/log"

// Events. 1xx process, 2xx wire and peers, 3xx configuration and store, 4xx requests, 5xx targets,
// 6xx moves, 7xx leases and orders.
const (
	Started         ID = 101
	Stopping        ID = 102
	Stopped         ID = 103
	Ready           ID = 104
	Failed          ID = 105
	Reloaded        ID = 106
	LinesDropped    ID = 107
	PeerUp          ID = 201
	PeerDown        ID = 202
	BadFrame        ID = 203
	BadPeer         ID = 204
	RingFull        ID = 205
	PeerUnreachable ID = 206
	CellChanged     ID = 207
	ConfigInForce   ID = 301
	ConfigIgnored   ID = 302
	StoreDown       ID = 303
	StoreUp         ID = 304
	ConfigInvalid   ID = 305
	StoreBehind     ID = 306
	Relayed         ID = 307
	Refused         ID = 401
	Cut             ID = 402
	Blocked         ID = 403
	Resumed         ID = 404
	Placed          ID = 405
	Ended           ID = 406
	Repeated        ID = 407
	TurnedAway      ID = 408
	Suspected       ID = 409
	TargetCrashed   ID = 501
	TargetUp        ID = 502
	TargetSlow      ID = 503
	TargetLeaving   ID = 504
	TargetDown      ID = 505
	TargetGone      ID = 506
	TargetInvalid   ID = 507
	TargetMissing   ID = 508
	MoveStage       ID = 601
	MoveBad         ID = 602
	MoveEnded       ID = 603
	MoveOrdered     ID = 604
	MoveInvalid     ID = 605
	LeaseTaken      ID = 701
	LeaseLost       ID = 702
	OrderSent       ID = 703
	OrderRefused    ID = 704
)

var list = []Kind{
	{Started, log.InfoLevel, "process started"},
	{Stopping, log.InfoLevel, "graceful shutdown started"},
	{Stopped, log.InfoLevel, "process stopped"},
	{Ready, log.InfoLevel, "process is ready"},
	{Failed, log.ErrorLevel, "process failed"},
	{Reloaded, log.InfoLevel, "settings read again"},
	{LinesDropped, log.WarnLevel, "log lines dropped"},
	{PeerUp, log.InfoLevel, "peer connected"},
	{PeerDown, log.WarnLevel, "peer connection lost"},
	{BadFrame, log.WarnLevel, "malformed frame dropped"},
	{BadPeer, log.WarnLevel, "peer rejected"},
	{RingFull, log.WarnLevel, "ring is full"},
	{PeerUnreachable, log.DebugLevel, "peer cannot be reached"},
	{CellChanged, log.InfoLevel, "cell changed"},
	{ConfigInForce, log.InfoLevel, "configuration in force"},
	{ConfigIgnored, log.DebugLevel, "older configuration ignored"},
	{StoreDown, log.WarnLevel, "object API is not available"},
	{StoreUp, log.InfoLevel, "object API is available again"},
	{ConfigInvalid, log.ErrorLevel, "configuration from the object API is invalid"},
	{StoreBehind, log.InfoLevel, "history of the object API is lost, list read again"},
	{Relayed, log.InfoLevel, "state of the object API read from a peer"},
	{Refused, log.DebugLevel, "request refused"},
	{Cut, log.WarnLevel, "answer cut"},
	{Blocked, log.WarnLevel, "request fingerprint blocked"},
	{Resumed, log.DebugLevel, "answer resumed"},
	{Placed, log.InfoLevel, "request placed"},
	{Ended, log.InfoLevel, "request ended"},
	{Repeated, log.InfoLevel, "request sent again"},
	{TurnedAway, log.InfoLevel, "request turned away"},
	{Suspected, log.InfoLevel, "request suspected of a crash"},
	{TargetCrashed, log.WarnLevel, "target crashed"},
	{TargetUp, log.InfoLevel, "target is reachable"},
	{TargetSlow, log.WarnLevel, "target is slow"},
	{TargetLeaving, log.InfoLevel, "target is leaving"},
	{TargetDown, log.WarnLevel, "target does not answer"},
	{TargetGone, log.InfoLevel, "target is no longer registered"},
	{TargetInvalid, log.WarnLevel, "registration of a target cannot be read"},
	{TargetMissing, log.InfoLevel, "registration of a target was removed without notice"},
	{MoveStage, log.InfoLevel, "move changed its share"},
	{MoveBad, log.WarnLevel, "version judged bad"},
	{MoveEnded, log.InfoLevel, "move ended"},
	{MoveOrdered, log.InfoLevel, "move ordered"},
	{MoveInvalid, log.WarnLevel, "order of a move cannot be read"},
	{LeaseTaken, log.InfoLevel, "lease acquired"},
	{LeaseLost, log.WarnLevel, "lease lost"},
	{OrderSent, log.InfoLevel, "order sent to target"},
	{OrderRefused, log.WarnLevel, "order refused"},
}

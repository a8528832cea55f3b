package avail

// Source tells where the state of a target is known from.
type Source string

// Sources.
const (
	FromRegistration Source = "registration"
	FromAnswer       Source = "answer"
	FromPeer         Source = "peer"
	FromConnection   Source = "connection"
	FromEvacuation   Source = "evacuation"
	FromRollout      Source = "rollout"
)

package store

// GroupPath is the path under which the API serves our kinds: GroupPath/SORT and GroupPath/SORT/NAME.
const GroupPath = "/apis/" + group + "/v1"

const (
	group = "hickoryvane.example"
	// ValueMax is the largest value of an object in bytes, a limit of the platform.
	ValueBytesMax = 1 << 20
)

// Item is the JSON form of an object, by the conventions of the Kubernetes API for custom objects.
type Item struct {
	APIVersion string `json:"apiVersion"`
	Kind       string `json:"kind"`
	Meta       Meta   `json:"metadata"`
	Spec       Spec   `json:"spec"`
}

// Meta identifies an Item and its version.
type Meta struct {
	Name string `json:"name,omitempty"`
	Rev  Rev    `json:"resourceVersion,omitempty"`
	// Continue is set in a list that has more pages.
	Continue string `json:"continue,omitempty"`
}

// Spec holds the value; it travels in base64.
type Spec struct {
	Value []byte `json:"value"`
}

// Items is the JSON form of a list.
type ItemList struct {
	APIVersion string `json:"apiVersion"`
	Kind       string `json:"kind"`
	Meta       Meta   `json:"metadata"`
	Items      []Item `json:"items"`
}

// Status is the JSON form of a failure.
type Status struct {
	Kind    string `json:"kind"`
	Status  string `json:"status"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
	Code    int    `json:"code"`
}

// Reasons of a Status that tell two kinds of 409 apart.
const (
	ReasonExists   = "AlreadyExists"
	ReasonConflict = "Conflict"
)

// Types of a watch event.
const (
	EventAdded    = "ADDED"
	EventModified = "MODIFIED"
	EventDeleted  = "DELETED"
	EventError    = "ERROR"
)

// Options is the body of a delete.
type DeleteOptions struct {
	Preconditions Meta `json:"preconditions"`
}

// ItemOf returns the JSON form of o.
func ItemOf(o Object) Item {
	return Item{
		APIVersion: group + "/v1", Kind: o.Kind,
		Meta: Meta{Name: o.Name, Rev: o.Rev}, Spec: Spec{Value: o.Value},
	}
}

// Object returns the object that i describes.
func (i Item) Object() Object {
	return Object{Kind: i.Kind, Name: i.Meta.Name, Rev: i.Meta.Rev, Value: i.Spec.Value}
}

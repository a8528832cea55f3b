package store

import (
	"encoding/json"

	"hickoryvane.example/core/loose"
)

// looseReply is a reply with objects that other writers may have made unreadable. decode fails only if the reply
// itself cannot be read.
type looseReply interface{ decode(b []byte) error }

// decodeReply decodes an answer of the API into v.
func decodeReply(b []byte, v any) error {
	if l, ok := v.(looseReply); ok {
		return l.decode(b)
	}
	return json.Unmarshal(b, v)
}

// decode implements looseReply. An item keeps its name if that can be read; without a name or a version it has no
// value.
func (i *Item) decode(b []byte) error {
	*i = Item{}
	members, err := loose.Members(b)
	if err != nil {
		return err
	}
	_ = json.Unmarshal(members["apiVersion"], &i.APIVersion) // not used
	_ = json.Unmarshal(members["kind"], &i.Kind)             // not used: the caller asked for a kind
	m, err := loose.Members(members["metadata"])
	if err != nil {
		return nil
	}
	if json.Unmarshal(m["name"], &i.Meta.Name) != nil || i.Meta.Name == "" {
		i.Meta.Name = ""
		return nil
	}
	if json.Unmarshal(m["resourceVersion"], &i.Meta.Rev) != nil {
		i.Meta.Rev = ""
		return nil
	}
	if json.Unmarshal(members["spec"], &i.Spec) != nil {
		i.Spec = Spec{}
	}
	return nil
}

// decode implements looseReply.
func (l *ItemList) decode(b []byte) error {
	*l = ItemList{}
	members, err := loose.Members(b)
	if err != nil {
		return err
	}
	if err = json.Unmarshal(members["metadata"], &l.Meta); err != nil {
		return err
	}
	v, ok := members["items"]
	if !ok || string(v) == "null" {
		return nil
	}
	items, err := loose.Elements(v)
	l.Items = make([]Item, len(items))
	for i, v := range items {
		_ = l.Items[i].decode(v) // who uses the list reports an item without a name or value
	}
	return err
}

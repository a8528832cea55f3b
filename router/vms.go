package main

import (
	"context"

	"hickoryvane.example/core/member"
	"hickoryvane.example/core/vmlist"
)

// vmLister adapts the platform's list of VMs to entry.VMLister.
type vmLister struct{ source vmlist.Source }

// List implements entry.VMLister.
func (v vmLister) List(ctx context.Context) ([]member.Entry, error) {
	list, err := v.source.List(ctx)
	out := make([]member.Entry, 0, len(list))
	for _, m := range list {
		out = append(out, member.Entry{
			VM: m.Name, Address: m.Address, Role: member.Role(m.Role), Centre: m.Centre,
			Leaving: m.State == vmlist.Leaving,
		})
	}
	return out, err
}

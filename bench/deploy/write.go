package deploy

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/member"
	"hickoryvane.example/core/vmlist"
)

// Names of the files that Write makes, besides one settings file per router and agent.
const (
	operatorFile  = "operator.json"
	vmsFile       = "vms.json"
	processesFile = "processes.txt"
	addressesFile = "addresses.txt"
)

const (
	dirMode  = 0o755
	fileMode = 0o600 // the settings hold the shared key
)

func settingsFile(name string) string { return name + ".json" }

// Write writes the settings of all processes, the operator's settings, the body for the list of VMs, the
// processes to start and their addresses into a folder, which it creates.
func (p *Plan) Write(dir string) (err error) {
	defer func() { err = errors.WithMessage(err, "write settings") }()
	if dir, err = filepath.Abs(dir); err != nil {
		return err
	}
	if err = os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	for name, v := range p.settingsFiles() {
		if err = writeJSON(filepath.Join(dir, name), v); err != nil {
			return err
		}
	}
	var lines []string
	for _, proc := range p.processes(dir) {
		lines = append(lines, proc.String())
	}
	if err = writeLines(filepath.Join(dir, processesFile), lines); err != nil {
		return err
	}
	return writeLines(filepath.Join(dir, addressesFile), p.addressLines())
}

// files returns the contents of the JSON files by name.
func (p *Plan) settingsFiles() map[string]any {
	files := map[string]any{
		vmsFile:      p.vmEntries(),
		operatorFile: conf.Operator{Deployment: p.cfg.Deployment, Secret: secret, Store: p.storeAddr, Processes: p.routerAdmins()},
	}
	for _, r := range p.routers {
		files[settingsFile(string(r.Name))] = r
	}
	for _, a := range p.agents {
		files[settingsFile(string(a.Name))] = a
	}
	return files
}

// vms returns the entries of the list of VMs.
func (p *Plan) vmEntries() (list []vmlist.VM) {
	add := func(name ident.ProcessID, addr string, role member.Role, centre ident.DataCentre) {
		list = append(list, vmlist.VM{Name: name, Address: addr, Role: string(role), Centre: centre, State: vmlist.Live})
	}
	for _, r := range p.routers {
		add(r.Name, r.Admin, member.Router, r.Centre)
	}
	for _, a := range p.agents {
		add(a.Name, a.Admin, member.Agent, a.Centre)
	}
	return list
}

// writeJSON writes v without members that are zero: a zero bound is not valid, and a missing one gets its default.
func writeJSON(name string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	var tree any
	if err = json.Unmarshal(b, &tree); err != nil {
		return err
	}
	if b, err = json.MarshalIndent(prune(tree), "", "\t"); err != nil {
		return err
	}
	return os.WriteFile(name, append(b, '\n'), fileMode)
}

// prune removes the members of objects that are zero, empty or hold only such members.
func prune(tree any) any {
	m, ok := tree.(map[string]any)
	if !ok {
		return tree
	}
	for k, v := range m {
		v = prune(v)
		if n, isMap := v.(map[string]any); v == nil || v == float64(0) || isMap && len(n) == 0 {
			delete(m, k)
		}
	}
	return m
}

func writeLines(name string, lines []string) error {
	return os.WriteFile(name, []byte(strings.Join(lines, "\n")+"\n"), fileMode)
}

package deploy

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"hickoryvane.example/core/conf"
)

const (
	// listLag delays changes of the list of VMs of the stand-in; its default of 2 s would dominate the duration of a
	// session of the demo.
	listLag = "200ms"
	// objectsName and listName are the process names of the stand-ins for the object API and the list of VMs.
	objectsName = "objects"
	listName    = "vms"
	// targetSuffix is appended to the name of a VM to name the stand-in of its target.
	targetSuffix = ".target"
)

// process is one process to start.
type process struct {
	name, program string
	args          []string
}

// String returns the process as one line: name, program and arguments, separated by tabs.
func (p process) String() string {
	return strings.Join(append([]string{p.name, p.program}, p.args...), "\t")
}

// processes returns all processes in the order in which they are to be started.
func (p *Plan) processes(dir string) (list []process) {
	list = append(list,
		process{objectsName, "standin", []string{"objects", "--listen", p.storeAddr}},
		process{listName, "standin", []string{"vms", "--listen", p.vmlistAddr, "--lag", listLag}})
	for i := range p.agents {
		list = append(list, p.standin(i))
	}
	for _, r := range p.routers {
		list = append(list, process{string(r.Name), "router", []string{
			"serve", "--settings", filepath.Join(dir, settingsFile(string(r.Name))),
		}})
	}
	for i, a := range p.agents {
		list = append(list, process{string(a.Name), "agent", []string{
			"serve", "--settings", filepath.Join(dir, settingsFile(string(a.Name))),
			"--kind", string(p.serviceKind(p.targets[i].Service)),
		}})
	}
	return list
}

// standin returns the stand-in for the target of agents[i]. Its seed is i+1.
func (p *Plan) standin(i int) process {
	t, a := p.targets[i], p.agents[i]
	name := string(a.Name) + targetSuffix
	args := []string{"--listen", a.Target, "--seed", strconv.Itoa(i + 1), "--version", string(t.Version)}
	if p.serviceKind(t.Service) == conf.PlainService {
		return process{name, "standin", append([]string{"plain"}, args...)}
	}
	s := speedOf(t.Class)
	args = append(args, "--prefill", strconv.Itoa(s.prefillTokensPerSecond),
		"--decode", strconv.Itoa(s.decodeTokensPerSecond), fmt.Sprintf("--fenced=%t", t.ChecksFencingToken))
	if t.ChecksSender {
		args = append(args, "--issuers", string(a.Name))
	}
	return process{name, "standin", append([]string{"engine"}, args...)}
}

// addressLines returns one line per address: its use, the name of its process, the address, and for targets also
// the service and the version, separated by tabs.
func (p *Plan) addressLines() (lines []string) {
	add := func(columns ...string) { lines = append(lines, strings.Join(columns, "\t")) }
	add("store", objectsName, p.storeAddr)
	add("vmlist", listName, p.vmlistAddr)
	for _, r := range p.routers {
		add("caller", string(r.Name), r.Listen)
		add("admin", string(r.Name), r.Admin)
	}
	for i, a := range p.agents {
		t := p.targets[i]
		add("admin", string(a.Name), a.Admin)
		add(string(p.serviceKind(t.Service)), string(a.Name)+targetSuffix, a.Target, string(t.Service), string(t.Version))
	}
	return lines
}

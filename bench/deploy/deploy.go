// Package deploy writes the settings of all processes of a deployment on loopback, for tests and the demo.
// The command bench settings calls it.
package deploy

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
)

const (
	// secret is the shared key of the processes of a deployment on loopback.
	secret = "loopback-deployment-key"
	// routerCount is the number of routers; each is in a data centre of its own.
	routerCount = 2
)

// ErrUndeployable means that the declarations do not give a deployment, or that no port is free.
var ErrUndeployable = errors.New("cannot deploy on loopback")

// Plan is a deployment with the addresses of its processes.
type Plan struct {
	cfg                   conf.Config
	storeAddr, vmlistAddr string
	routers               []conf.Router
	agents                []conf.Agent
	// targets[i] is the declaration of the target of agents[i].
	targets []conf.Target
}

// New returns a plan for the declarations. It allocates addresses from ports. Errors wrap ErrUndeployable.
func New(cfg conf.Config, ports *Ports) (p *Plan, err error) {
	defer func() { err = errors.WithMessage(err, "plan deployment") }()
	p = &Plan{cfg: cfg, targets: cfg.Targets}
	for _, addr := range []*string{&p.storeAddr, &p.vmlistAddr} {
		if *addr, err = ports.NextAddress(); err != nil {
			return nil, err
		}
	}
	if err = p.addRouters(ports); err != nil {
		return nil, err
	}
	return p, p.addAgents(ports)
}

// addRouters places the routers in the first data centres of different regions. If there are fewer regions than
// routers, the second data centres of the regions follow.
func (p *Plan) addRouters(ports *Ports) (err error) {
	locations := interleaveCentres(p.cfg.Regions)
	if len(locations) < routerCount {
		return errors.Wrapf(ErrUndeployable, "%d data centres are declared, %d needed", len(locations), routerCount)
	}
	for _, at := range locations[:routerCount] {
		r := conf.Router{
			Name: ident.ProcessID("router-" + string(at.centre)), Deployment: p.cfg.Deployment, Region: at.region,
			Centre: at.centre, Secret: secret, Store: p.storeAddr, VMList: p.vmlistAddr,
		}
		if r.Listen, err = ports.NextAddress(); err != nil {
			return err
		}
		if r.Admin, err = ports.NextAddress(); err != nil {
			return err
		}
		p.routers = append(p.routers, r)
	}
	for i := range p.routers {
		p.routers[i].Peers = []string{p.routers[(i+1)%routerCount].Admin}
	}
	return nil
}

func (p *Plan) addAgents(ports *Ports) (err error) {
	regions := map[ident.DataCentre]ident.Region{}
	for _, at := range interleaveCentres(p.cfg.Regions) {
		regions[at.centre] = at.region
	}
	for _, t := range p.targets {
		a := conf.Agent{
			Name: t.VM, Deployment: p.cfg.Deployment, Region: regions[t.Centre], Centre: t.Centre,
			Secret: secret, Store: p.storeAddr, VMList: p.vmlistAddr, Peers: p.routerAdmins(),
		}
		if a.Admin, err = ports.NextAddress(); err != nil {
			return err
		}
		if a.Target, err = ports.NextAddress(); err != nil {
			return err
		}
		p.agents = append(p.agents, a)
	}
	return nil
}

// routerAdmins returns the admin addresses of the routers.
func (p *Plan) routerAdmins() (list []string) {
	for _, r := range p.routers {
		list = append(list, r.Admin)
	}
	return list
}

// serviceKind returns the kind of a service; conf.ModelService if it is not declared or has no kind.
func (p *Plan) serviceKind(name ident.Service) conf.ServiceKind {
	i := slices.IndexFunc(p.cfg.Services, func(s conf.Service) bool { return s.Name == name })
	if i < 0 {
		return conf.ModelService
	}
	return cmp.Or(p.cfg.Services[i].Kind, conf.ModelService)
}

// location is a data centre and its region.
type location struct {
	region ident.Region
	centre ident.DataCentre
}

// interleaveCentres returns all data centres: the first of each region, then the second of each, and so on.
func interleaveCentres(regions []conf.Region) (list []location) {
	for i := 0; ; i++ {
		n := len(list)
		for _, r := range regions {
			if i < len(r.Centres) {
				list = append(list, location{r.Name, r.Centres[i]})
			}
		}
		if len(list) == n {
			return list
		}
	}
}

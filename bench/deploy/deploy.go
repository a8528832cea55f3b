// Package deploy writes the settings of a whole deployment on loopback for tests and the demo.
package deploy

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
)

const (
	// secret is the shared key of a deployment on loopback.
	secret = "loopback-deployment-key"
	// routerCount is the number of routers; each is in a data centre of its own.
	routerCount = 2
)

// ErrDeploy means that no deployment can be made of the declarations.
var ErrUndeployable = errors.New("declarations cannot be deployed")

// Plan is a deployment whose addresses are chosen.
type Plan struct {
	cfg                   conf.Config
	storeAddr, vmlistAddr string
	routers               []conf.Router
	agents                []conf.Agent
	// targets are the declarations of the targets, in the order of agents.
	targets []conf.Target
}

// New returns a plan for the declarations. It takes addresses from ports. Errors wrap ErrDeploy.
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

// addRouters places the routers in the first data centres of different regions, as far as there are regions.
func (p *Plan) addRouters(ports *Ports) (err error) {
	places := interleaveCentres(p.cfg.Regions)
	if len(places) < routerCount {
		return errors.Wrapf(ErrUndeployable, "%d data centres are declared, %d needed", len(places), routerCount)
	}
	for _, at := range places[:routerCount] {
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

// admins returns the admin addresses of the routers.
func (p *Plan) routerAdmins() (list []string) {
	for _, r := range p.routers {
		list = append(list, r.Admin)
	}
	return list
}

// kind returns the kind of a service.
func (p *Plan) serviceKind(name ident.Service) conf.ServiceKind {
	i := slices.IndexFunc(p.cfg.Services, func(s conf.Service) bool { return s.Name == name })
	if i < 0 {
		return conf.ModelService
	}
	return cmp.Or(p.cfg.Services[i].Kind, conf.ModelService)
}

// place is a data centre and its region.
type location struct {
	region ident.Region
	centre ident.DataCentre
}

// spread returns all data centres: the first of each region, then the second of each, and so on.
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

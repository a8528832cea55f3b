package conf_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
)

const baseDeclarations = `{
	// A small, complete deployment.
	"deployment": "demo",
	"regions": [{"name": "west", "centres": ["w-a", "w-b"]}, {"name": "east", "centres": ["e-a"]}],
	"tiers": [{"name": "high", "rank": 0}, {"name": "low", "rank": 1, "wait": 500}],
	"accounts": [{"name": "north", "keys": ["KEY"], "rate": 100, "burst": 200, "tier": "low", "tiers": ["low", "high"]}],
	"services": [
		{"name": "llm", "kind": "model", "versions": ["v1", "v2", "v3"], "current": "v1", "models": ["assess", "tag"], "routes": [
			{"name": "chat", "method": "POST", "path": "/v1/chat/completions"},
			{"name": "tag", "method": "POST", "path": "/v1/chat/completions", "model": "tag", "tier": "low"}]},
		{"name": "desk", "kind": "plain", "versions": ["v1"], "current": "v1", "routes": [
			{"name": "all", "method": "GET", "path": "/desk/", "repeat": true},
			{"name": "stock", "method": "GET", "path": "/desk/stock", "repeat": true}]},
	],
	"targets": [
		{"name": "m1", "vm": "vm1", "centre": "w-a", "service": "llm", "version": "v1", "class": "big"},
		{"name": "m2", "vm": "vm2", "centre": "e-a", "service": "llm", "version": "v2", "class": "big"},
		{"name": "m3", "vm": "vm3", "centre": "e-a", "service": "llm", "version": "v3", "class": "big"},
		{"name": "d1", "vm": "vm4", "centre": "w-b", "service": "desk", "version": "v1", "class": "cpu"},
	],
}`

func declarationFile(name, text string) conf.File {
	return conf.File{Name: name, Data: []byte(strings.ReplaceAll(text, "KEY", ident.HashKey("secret")))}
}

// mergeValid returns baseDeclarations merged with more files; the result must have no problems.
func mergeValid(t testing.TB, more ...string) conf.Config {
	t.Helper()
	files := []conf.File{declarationFile("a.json", baseDeclarations)}
	for _, m := range more {
		files = append(files, declarationFile("b.json", m))
	}
	cfg, problems := conf.Merge(files)
	NewWithT(t).Expect(problems).To(BeEmpty())
	return cfg
}

func rolloutJSON(name, from, to, deadline string) string {
	return `{"name": "` + name + `", "service": "llm", "from": "` + from + `", "to": "` + to + `", "deadline": "` + deadline + `"}`
}

// Guards against a merge of entries of the same name key by key, by which a replaced entry would keep values of
// the earlier one instead of getting the defaults, and against files that are merged in another order.
func TestLoadMergesByNameInFileOrder(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	write := func(name, text string) {
		g.Expect(os.WriteFile(filepath.Join(dir, name), declarationFile(name, text).Data, 0o600)).To(Succeed())
	}
	write("10.json", baseDeclarations)
	write("20.json", `{"tiers": [{"name": "low", "rank": 1}, {"name": "mid", "rank": 2, "wait": 7}], "limits": {"claims": 7}}`)
	write("notes.txt", "not read")
	cfg, problems := conf.Load(dir)
	g.Expect(problems).To(BeEmpty())
	g.Expect(cfg.Tiers).To(Equal([]conf.Tier{{Name: "high", Wait: 10000}, {Name: "low", Rank: 1, Wait: 10000}, {Name: "mid", Rank: 2, Wait: 7}}))
	g.Expect(cfg.Limits).To(Equal(conf.Limits{LinkBytesPerSecond: 1250000, ClaimsPerSecond: 7, LoadsPerMinute: 60}))
	g.Expect(cfg.Accounts[0].Weight).To(Equal(1))

	_, problems = conf.Load(t.TempDir())
	g.Expect(problems).To(HaveLen(1))
}

// Guards against a fault in declarations that is accepted, or that is reported without its file, line or key.
func TestEachFaultIsReportedWithItsPosition(t *testing.T) {
	const day = "2026-12-05T00:00:00Z"
	for _, c := range []struct{ name, text, want string }{
		{"syntax", "{\n\"tiers\": [}", "b.json:2: column 11"},
		{"unknown key", `{"tiers": [{"name": "x", "rank": 3, "colour": 1}]}`, "b.json:1: tiers[x].colour: is not a known key"},
		{"unknown top key", "{\n\"tires\": []}", "b.json:2: tires: is not a known key"},
		{"key twice", `{"deployment": "a", "deployment": "b"}`, "deployment: is given twice"},
		{"name twice", `{"tiers": [{"name": "x", "rank": 3},` + "\n" + `{"name": "x", "rank": 4}]}`, `b.json:2: tiers[1]: name "x" is used twice`},
		{"wrong type", `{"accounts": [{"name": "north", "keys": "KEY", "rate": "fast", "tier": "low", "tiers": ["low"]}]}`, "accounts[north].rate: must be a whole number"},
		{"not a list", `{"accounts": {}}`, "accounts: must be a list"},
		{"not an object", `{"tiers": [3]}`, "tiers[0]: must be an object"},
		{"null", `{"limits": null}`, "limits: must not be null"},
		{"large rank", `{"tiers": [{"name": "x", "rank": 300}]}`, "must be a whole number from 0 to 255"},
		{"bad time", `{"moves": [` + rolloutJSON("m", "v1", "v2", "soon") + `]}`, "moves[m].deadline: must be a time"},
		{"far deadline", `{"moves": [` + rolloutJSON("m", "v1", "v2", "3026-01-01T00:00:00Z") + `]}`, "moves[m].deadline: year 3026"},
		{"no deadline", `{"moves": [{"name": "m", "service": "llm", "from": "v1", "to": "v2"}]}`, "moves[m].deadline: is missing"},
		{"no name", `{"tiers": [{"rank": 3}]}`, "tiers[0].name: is missing"},
		{"bad name", `{"tiers": [{"name": "a b", "rank": 3}]}`, "tiers[0].name: \"a b\" must be 1 to 64"},
		{"empty list", `{"regions": []}`, "regions: has 0 entries"},
		{"generation", `{"generation": 3}`, "generation: is written by apply"},
		{"key hash", `{"accounts": [{"name": "s", "keys": ["12ab"], "tier": "low", "tiers": ["low"]}]}`, "accounts[s].keys[0]: \"12ab\" must be the SHA-256"},
		{"empty key", `{"accounts": [{"name": "s", "keys": ["` + ident.HashKey("") + `"], "tier": "low", "tiers": ["low"]}]}`, "accounts[s].keys[0]: "},
		{"shared key", `{"accounts": [{"name": "s", "keys": ["KEY"], "tier": "low", "tiers": ["low"]}]}`, `accounts[s].keys[0]: a key is a key of account "north"`},
		{"weight", `{"accounts": [{"name": "s", "keys": ["` + ident.HashKey("s") + `"], "weight": 0, "tier": "low", "tiers": ["low"]}]}`, "accounts[s].weight: is 0; must be 1 to 1000"},
		{"no burst", `{"accounts": [{"name": "s", "keys": ["` + ident.HashKey("s") + `"], "rate": 5, "tier": "low", "tiers": ["low"]}]}`, "accounts[s].burst: must be at least 1"},
		{"tier reference", `{"accounts": [{"name": "s", "keys": ["` + ident.HashKey("s") + `"], "tier": "x", "tiers": ["low"]}]}`, `accounts[s].tier: tier "x" is not declared`},
		{"tier not allowed", `{"accounts": [{"name": "s", "keys": ["` + ident.HashKey("s") + `"], "tier": "high", "tiers": ["low"]}]}`, "is not one of the account's tiers"},
		{"rank twice", `{"tiers": [{"name": "x", "rank": 1}]}`, `tiers[x].rank: rank 1 is the rank of tier "low"`},
		{"centre twice", `{"regions": [{"name": "x", "centres": ["w-a"]}]}`, `regions[x].centres[0]: data centre "w-a" is in region "west"`},
		{"service reference", `{"targets": [{"name": "t", "vm": "v", "centre": "w-a", "service": "x", "version": "v1", "class": "c"}]}`, `targets[t].service: service "x" is not declared`},
		{"version reference", `{"targets": [{"name": "t", "vm": "v", "centre": "w-a", "service": "llm", "version": "v9", "class": "c"}]}`, `targets[t].version: version "v9" is not a version`},
		{"centre reference", `{"targets": [{"name": "t", "vm": "v", "centre": "x", "service": "llm", "version": "v1", "class": "c"}]}`, `targets[t].centre: data centre "x" is in no region`},
		{"vm twice", `{"targets": [{"name": "t", "vm": "vm1", "centre": "w-a", "service": "llm", "version": "v1", "class": "c"}]}`, `targets[t].vm: VM "vm1" is used by target "m1"`},
		{"current", `{"services": [{"name": "s", "kind": "plain", "versions": ["v1"], "current": "v1", "routes": [{"name": "r", "method": "GET", "path": "/s"}]}]}`, "services[s].current: no target runs"},
		{"kind", `{"services": [{"name": "desk", "kind": "queue", "versions": ["v1"], "current": "v1", "routes": [{"name": "r", "method": "GET", "path": "/s"}]}]}`, `services[desk].kind: "queue" is not one of: model plain`},
		{"path", `{"services": [{"name": "desk", "kind": "plain", "versions": ["v1"], "current": "v1", "routes": [{"name": "r", "method": "GET", "path": "s"}]}]}`, `services[desk].routes[r].path: "s" must be a path`},
		{"path of two services", `{"services": [{"name": "desk", "kind": "plain", "versions": ["v1"], "current": "v1", "routes": [{"name": "r", "method": "POST", "path": "/v1/chat/completions"}]}]}`, `is a route of service "llm"`},
		{"models of plain", `{"services": [{"name": "desk", "kind": "plain", "models": ["x"], "versions": ["v1"], "current": "v1", "routes": [{"name": "r", "method": "GET", "path": "/s"}]}]}`, "only a model service"},
		{"model of route", `{"services": [{"name": "desk", "kind": "plain", "versions": ["v1"], "current": "v1", "routes": [{"name": "r", "method": "GET", "path": "/s", "model": "x"}]}]}`, `model name "x" is not one of the service`},
		{"opposite rollouts", `{"moves": [` + rolloutJSON("a", "v1", "v2", day) + "," + rolloutJSON("b", "v2", "v1", day) + `]}`, `moves[b]: is opposite to move "a"`},
		{"overlapping rollouts", `{"moves": [` + rolloutJSON("a", "v1", "v2", day) + "," + rolloutJSON("b", "v1", "v3", day) + `]}`, `moves[b].from: overlaps move "a"`},
		{"deadline order", `{"moves": [` + rolloutJSON("a", "v1", "v2", day) + "," + rolloutJSON("b", "v2", "v3", day) + `]}`, `moves[b].deadline: must be after the deadline of move "a"`},
		{"deadline order, declared later", `{"moves": [` + rolloutJSON("a", "v2", "v3", day) + "," + rolloutJSON("b", "v1", "v2", day) + `]}`, `moves[b].deadline: must be before the deadline of move "a"`},
		{"same new version", `{"moves": [` + rolloutJSON("a", "v1", "v3", day) + "," + rolloutJSON("b", "v2", "v3", day) + `]}`, `moves[b].to: overlaps move "a"`},
		{"position of a replaced entry", `{"accounts": [{"name": "north", "keys": ["KEY"], "rate": 5, "tier": "low", "tiers": ["low"]}]}`, "b.json:1: accounts[north].burst: must be"},
		{"rollout from a version that never serves", `{"moves": [` + rolloutJSON("a", "v2", "v3", day) + `]}`, `moves[a].from: version "v2" is not the current one`},
		{"rollout to the same version", `{"moves": [` + rolloutJSON("a", "v1", "v1", day) + `]}`, "moves[a].to: is the same version"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, problems := conf.Merge([]conf.File{declarationFile("a.json", baseDeclarations), declarationFile("b.json", c.text)})
			NewWithT(t).Expect(problemTexts(problems)).To(ContainElement(ContainSubstring(c.want)))
		})
	}
}

func problemTexts(problems []conf.Problem) (list []string) {
	for _, p := range problems {
		list = append(list, p.String())
	}
	return list
}

// Guards against a check that stops at the first fault, reports one twice, or reports faults that follow only from
// a file that could not be read.
func TestAllProblemsAreListedOnce(t *testing.T) {
	_, problems := conf.Merge([]conf.File{declarationFile("a.json", baseDeclarations), declarationFile("b.json", `{
		"tiers": [{"name": "x", "rank": "one", "weight": 1}],
		"accounts": [{"name": "s", "keys": [7], "tier": "x", "tiers": ["x", "y"]}],
		"limits": {"claims": 0}
	}`)})
	NewWithT(t).Expect(problemTexts(problems)).To(Equal([]string{
		"b.json:2: tiers[x].rank: must be a whole number from 0 to 255",
		"b.json:2: tiers[x].weight: is not a known key",
		"b.json:3: accounts[s].keys[0]: must be a text",
		`b.json:3: accounts[s].tiers[1]: tier "y" is not declared`,
		"b.json:4: limits.claims: is 0; must be 1 to 1000",
	}))
	_, problems = conf.Merge([]conf.File{declarationFile("a.json", "{"), declarationFile("b.json", `{"accounts": [{"name": "s", "keys": ["KEY"], "tier": "x", "tiers": ["x"]}]}`)})
	NewWithT(t).Expect(problems).To(HaveLen(1), "what the broken file declares is unknown")
	cfg := mergeValid(t)
	for i := range 999 {
		a := cfg.Accounts[0]
		a.Name, a.Keys = ident.AccountID("a"+strconv.Itoa(i)), []string{ident.HashKey(strconv.Itoa(i))}
		cfg.Accounts = append(cfg.Accounts, a)
	}
	NewWithT(t).Expect(problemTexts(conf.Check(cfg))).To(Equal([]string{"accounts: 1002 accounts and services together; at most 1000 are allowed"}))
}

// Guards against settings with host names in addresses or short secrets, and against missing defaults.
func TestSettingsAreCheckedAndGetDefaults(t *testing.T) {
	g := NewWithT(t)
	const head = `{"name": "r1", "deployment": "demo", "region": "west", "centre": "w-a", "vmlist": "10.0.0.9:81", "admin": "10.0.0.1:7001", `
	r, problems := conf.ParseSettings[conf.Router]("r.json", []byte(head+`"listen": "[::1]:80", "store": "10.0.0.9:80",
		"secret": "0123456789abcdef", /* seeds */ "peers": ["10.0.0.2:7001"], "bounds": {"agents": 3}}`))
	g.Expect(problems).To(BeEmpty())
	g.Expect(r.Bounds).To(Equal(conf.RouterBounds{Requests: 4096, Body: 2 << 20, Memory: 64 << 20, Agents: 3}))

	_, problems = conf.ParseSettings[conf.Router]("r.json", []byte(head+`"listen": "localhost:80", "store": "10.0.0.9",
		"secret": "short", "peers": ["peer:1", "10.0.0.1:0"], "bounds": {"agents": 0}, "target": "10.0.0.1:1"}`))
	g.Expect(problemTexts(problems)).To(Equal([]string{
		`r.json:1: listen: "localhost:80" must be an IP number with a port, such as 10.0.0.1:8080`,
		`r.json:1: store: "10.0.0.9" must be an IP number with a port, such as 10.0.0.1:8080`,
		"r.json:2: target: is not a known key",
		"r.json:2: secret: has 5 characters; must have 16 to 256",
		`r.json:2: peers[0]: "peer:1" must be an IP number with a port, such as 10.0.0.1:8080`,
		`r.json:2: peers[1]: "10.0.0.1:0" must be an IP number with a port, such as 10.0.0.1:8080`,
		"r.json:2: bounds.agents: is 0; must be 1 to 64",
	}))
	_, problems = conf.ReadSettings[conf.Agent](filepath.Join(t.TempDir(), "none.json"))
	g.Expect(problems).To(HaveLen(1))
}

// Guards against a lookup that returns the route, account, target or region of another key.
func TestIndexFindsTheDeclaredEntries(t *testing.T) {
	g := NewWithT(t)
	x := conf.NewIndex(mergeValid(t, `{"moves": [`+rolloutJSON("b", "v2", "v3", "2026-12-06T00:00:00Z")+","+rolloutJSON("a", "v1", "v2", "2026-12-05T00:00:00Z")+`]}`))
	a, ok := x.AccountByKeyHash(ident.HashKey("secret"))
	g.Expect(ok).To(BeTrue())
	g.Expect(a.Name).To(BeEquivalentTo("north"))
	_, ok = x.AccountByKeyHash(ident.HashKey("other"))
	g.Expect(ok).To(BeFalse())
	route := func(r conf.Route, ok bool) string { return map[bool]string{true: string(r.Name)}[ok] }
	g.Expect(route(x.Route("llm", "POST", "/v1/chat/completions", "tag"))).To(Equal("tag"))
	g.Expect(route(x.Route("llm", "POST", "/v1/chat/completions", "assess"))).To(Equal("chat"))
	g.Expect(route(x.Route("llm", "GET", "/v1/chat/completions", "assess"))).To(BeEmpty())
	for path, want := range map[string]string{"/desk/stock": "stock", "/desk/stock/7": "all", "/desk": ""} {
		_, r, ok := x.MatchPlain("GET", path)
		g.Expect(route(r, ok)).To(Equal(want), path)
	}
	s, _ := x.ServiceByModel("assess")
	g.Expect(s.Name).To(BeEquivalentTo("llm"))
	g.Expect(x.HasModelRoute("POST", "/v1/chat/completions")).To(BeTrue())
	g.Expect(x.HasModelRoute("GET", "/desk/stock")).To(BeFalse())
	target, _ := x.TargetByVM("vm3")
	g.Expect(target.Name).To(BeEquivalentTo("m3"))
	region, _ := x.Region("e-a")
	g.Expect(region).To(BeEquivalentTo("east"))
	g.Expect(x.Rollouts("llm")[0].Name).To(BeEquivalentTo("a"))
	g.Expect(x.Tiers()[0].Name).To(Equal("high"))
}

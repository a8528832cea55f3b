package conf

import (
	"time"

	"hickoryvane.example/core/ident"
)

// Router holds the settings of a router.
type Router struct {
	// Name is the process id, which is also the name of the VM in the platform's list.
	Name       ident.ProcessID  `json:"name" need:"yes" form:"name"`
	Deployment string           `json:"deployment" need:"yes" form:"name"`
	Region     ident.Region     `json:"region" need:"yes" form:"name"`
	Centre     ident.DataCentre `json:"centre" need:"yes" form:"name"`
	// Listen is the address for callers.
	Listen string `json:"listen" need:"yes" form:"address"`
	// Admin is the address for peers (/wire), operators (/status), probes and metrics.
	Admin string `json:"admin" need:"yes" form:"address"`
	// Secret is the shared key of the deployment.
	Secret string `json:"secret" need:"yes" unit:"characters" limit:"16..256"`
	// Store and VMList are the addresses of the object API and of the list of VMs.
	Store  string `json:"store" need:"yes" form:"address"`
	VMList string `json:"vmlist" need:"yes" form:"address"`
	// Peers are the admin addresses that the process connects to at start.
	Peers  []string     `json:"peers" limit:"0..64" form:"address"`
	Bounds RouterBounds `json:"bounds"`
}

// RouterBounds bounds the resources of one router.
type RouterBounds struct {
	// Requests bounds the waiting and running requests.
	Requests int `json:"requests" unit:"requests" default:"4096" limit:"1..65536"`
	// Body bounds the body of one request; it must fit into one message.
	Body ident.Bytes `json:"body" unit:"bytes" default:"2097152" limit:"1024..4128768"`
	// Memory bounds the bodies and answers held for callers.
	Memory ident.Bytes `json:"memory" unit:"bytes" default:"67108864" limit:"1048576..1073741824"`
	// Agents bounds the connections to the agents of one pool.
	Agents int `json:"agents" unit:"connections" default:"12" limit:"1..64"`
}

// Direct holds the settings of a router that dispatches to targets without agents.
type Direct struct {
	// Name is the process id.
	Name   ident.ProcessID  `json:"name" need:"yes" form:"name"`
	Region ident.Region     `json:"region" need:"yes" form:"name"`
	Centre ident.DataCentre `json:"centre" need:"yes" form:"name"`
	// Centres lists the data centres with their regions.
	Centres []Centre `json:"centres" need:"yes" limit:"1..64"`
	// Listen is the address for callers, Ready the address of the readiness probe, Admin the address of metrics
	// and status, Heartbeat the address for the heartbeat datagrams of other routers.
	Listen    string `json:"listen" need:"yes" form:"address"`
	Ready     string `json:"ready" need:"yes" form:"address"`
	Admin     string `json:"admin" need:"yes" form:"address"`
	Heartbeat string `json:"beacon" need:"yes" form:"address"`
	// Store is the address of the platform's store.
	Store string `json:"store" need:"yes" form:"address"`
	// MemoryMB bounds the memory of the process.
	MemoryMB float64 `json:"memory" unit:"MB" need:"yes" limit:"32..1048576"`
	// Files bounds the descriptors of the process.
	Files int `json:"files,omitempty" unit:"descriptors" default:"4096" limit:"1..1048576"`
	// GraceSeconds is the time between SIGTERM and SIGKILL.
	GraceSeconds float64 `json:"grace" unit:"s" need:"yes" limit:"0..3600"`
	// DrainMillis is the time within which a target whose registration was removed must get no more requests.
	DrainMillis float64 `json:"drain" unit:"ms" need:"yes" limit:"0..3600000"`
	// RecoveryMillis is the time after a disturbance within which changes must again take effect on time. A lost
	// call to the store must be detected within it.
	RecoveryMillis float64 `json:"stable" unit:"ms" need:"yes" limit:"0..3600000"`
	// RetryRatio and ExtraRetries limit the retries of all routers within RetryPeriodSeconds: RetryRatio times the
	// requests plus ExtraRetries.
	RetryRatio         float64 `json:"ratio" need:"yes" limit:"0..100"`
	ExtraRetries       float64 `json:"spare" unit:"repeats" need:"yes" limit:"0..1000000"`
	RetryPeriodSeconds float64 `json:"span" unit:"s" need:"yes" limit:"0..3600"`
	// ExposureRatio and ExtraExposedRequests limit the requests to a canary version between the rollout request
	// and its deadline: ExposureRatio times the requests for the service plus ExtraExposedRequests.
	ExposureRatio        float64 `json:"expose" default:"0.1" limit:"0..1"`
	ExtraExposedRequests float64 `json:"leeway" unit:"requests" default:"0" limit:"0..1000000"`
	// Terms are the optional parts of the platform's protocol that are in force, by the platform's names.
	Terms []string `json:"terms,omitempty" limit:"0..64" form:"label"`
	// Prefix makes placements depend on what targets are estimated to hold of prompts.
	Prefix bool `json:"prefix" default:"false"`
	// ColdRatio and ExtraColdRequests limit the requests that a cold target gets in any second: ColdRatio times the rate of
	// its service plus ExtraColdRequests.
	ColdRatio         float64 `json:"overage" default:"1.5" limit:"0..100"`
	ExtraColdRequests float64 `json:"slack" unit:"requests" default:"5" limit:"0..1000000"`
}

// Seconds converts a number of seconds to a duration.
func Seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// Centre is a data centre.
type Centre struct {
	Name   ident.DataCentre `json:"name" need:"yes" form:"name"`
	Region ident.Region     `json:"region" need:"yes" form:"name"`
}

// Agent holds the settings of an agent.
type Agent struct {
	// Name is the process id, which is also the name of the VM in declarations and in the platform's list.
	Name       ident.ProcessID  `json:"name" need:"yes" form:"name"`
	Deployment string           `json:"deployment" need:"yes" form:"name"`
	Region     ident.Region     `json:"region" need:"yes" form:"name"`
	Centre     ident.DataCentre `json:"centre" need:"yes" form:"name"`
	// Admin is the address for routers and peers (/wire), operators (/status), probes and metrics.
	Admin string `json:"admin" need:"yes" form:"address"`
	// Secret is the shared key of the deployment.
	Secret string `json:"secret" need:"yes" unit:"characters" limit:"16..256"`
	// Store and VMList are the addresses of the object API and of the list of VMs.
	Store  string `json:"store" need:"yes" form:"address"`
	VMList string `json:"vmlist" need:"yes" form:"address"`
	// Peers are the admin addresses that the process connects to at start.
	Peers []string `json:"peers" limit:"0..64" form:"address"`
	// Target is the address of the target beside the agent.
	Target string      `json:"target" need:"yes" form:"address"`
	Bounds AgentBounds `json:"bounds"`
}

// AgentBounds bounds the resources of one agent.
type AgentBounds struct {
	// Offers bounds the waiting offers.
	Offers int `json:"offers" unit:"offers" default:"1024" limit:"1..65536"`
	// Window bounds the concurrent requests to the target.
	Window int `json:"window" unit:"requests" default:"64" limit:"1..1024"`
	// AnswerBytes bounds the stored answers.
	AnswerBytes ident.Bytes `json:"answers" unit:"bytes" default:"67108864" limit:"1048576..1073741824"`
	// AnswerRetention is how long an answer is stored after its end.
	AnswerRetention Millis `json:"keep" unit:"ms" default:"120000" limit:"1000..3600000"`
}

// Operator holds the settings of the program hickoryvane.
type Operator struct {
	Deployment string `json:"deployment" need:"yes" form:"name"`
	// Secret is the shared key of the deployment.
	Secret string `json:"secret" need:"yes" unit:"characters" limit:"16..256"`
	// Store is the address of the object API.
	Store string `json:"store" need:"yes" form:"address"`
	// Processes are the admin addresses of some processes of each region.
	Processes []string `json:"processes" need:"yes" limit:"1..256" form:"address"`
}

// Standin holds the settings of a stand-in for a part of the platform, used by tests and the demo.
type Standin struct {
	// Kind selects what is simulated: the object API, a model engine, a plain service or the list of VMs.
	Kind   string `json:"kind" need:"yes" one:"store engine service vmlist"`
	Name   string `json:"name" need:"yes" form:"name"`
	Listen string `json:"listen" need:"yes" form:"address"`
	// Seed seeds the random generator, which makes a run reproducible.
	Seed uint64 `json:"seed" default:"1"`
	// Slots bounds the concurrent requests.
	Slots int `json:"slots" unit:"requests" default:"16" limit:"1..1024"`
	// PrefillRate and DecodeRate are the speeds of an engine.
	PrefillRate int `json:"prefill" unit:"tokens/s" default:"8000" limit:"1..1000000"`
	DecodeRate  int `json:"decode" unit:"tokens/s" default:"400" limit:"1..1000000"`
	// CacheBlocks bounds the prompt blocks in the cache of an engine.
	CacheBlocks int `json:"cache" unit:"blocks" default:"4096" limit:"0..1048576"`
	// Delay is the duration of a plain call or a call to the object API.
	Delay Millis `json:"delay" unit:"ms" default:"2" limit:"0..60000"`
	// ReadsPerSecond and WritesPerSecond limit the calls to the object API.
	ReadsPerSecond  int `json:"reads" unit:"calls/s" default:"2000" limit:"1..100000"`
	WritesPerSecond int `json:"writes" unit:"calls/s" default:"300" limit:"1..100000"`
}

// Settings is a constraint for the types of settings.
type Settings interface {
	Router | Direct | Agent | Operator | Standin
}

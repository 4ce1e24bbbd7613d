package engineapi

// Paths of a model engine. Completions follow the OpenAI chat protocol.
const (
	PathCompletions = "/v1/chat/completions"
	PathLoad        = "/orders/load"
	PathUnload      = "/orders/unload"
	PathAdapter     = "/orders/adapter"
	PathRole        = "/orders/role"
	PathState       = "/state"
	PathReport      = "/report"
	PathEvents      = "/events"
	PathCancel      = "/cancel/"
	PathKV          = "/kv/"
	PathHealth      = "/healthz"
)

// Headers of a completion request to an engine.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderOffset is the count of SSE events that the reader already has.
	HeaderOffset = "X-Resume-Offset"
	// HeaderPriority follows RFC 9218.
	HeaderPriority = "Priority"
)

// Order asks an engine to load or unload a model; it answers 202 before it is done.
type Order struct {
	Model    string
	Version  string
	MemoryMB uint64 `json:",omitempty"`
	// CheckpointMB is what the load fetches from the weight store; 0 means MemoryMB.
	CheckpointMB uint64 `json:",omitempty"`
	Fence        uint64
	Role         string `json:",omitempty"`
	Adapter      string `json:",omitempty"`
}

// HeldState is the state of one model in an engine.
type HeldState string

// States of a model in an engine.
const (
	HeldLoading   HeldState = "Loading"
	HeldLoaded    HeldState = "Loaded"
	HeldUnloading HeldState = "Unloading"
)

// Held is one model that an engine holds memory for.
type Held struct {
	Model    string
	Version  string
	MemoryMB uint64
	Fence    uint64
	State    HeldState
	Adapters []string `json:",omitempty"`
	// CachedIn says where the checkpoint was found: Memory, Disk or Remote.
	CachedIn string `json:",omitempty"`
}

// State is an engine's own word on what it holds, current at the time of the answer.
type State struct {
	MemoryMB     uint64
	FreeMB       uint64
	HighestFence uint64
	Role         string
	Held         []Held
	// Cached lists checkpoints on the engine's VM: model@version to Memory or Disk.
	Cached map[string]string `json:",omitempty"`
}

// Report is an engine's load, late by AgeMS.
type Report struct {
	Running int
	Waiting int
	Slots   int
	AgeMS   int64
}

// CacheEvent says that a prompt prefix entered or left the cache; sequences may have gaps.
type CacheEvent struct {
	Sequence uint64
	Model    string
	Prefix   uint64
	Dropped  bool
}

// PathWeights of the weight store: GET PathWeights+model@version streams a checkpoint,
// 429 with Retry-After when the rate is exceeded.
const PathWeights = "/weights/"

// PathVMs of the platform answers with VMList, late by its lag.
const PathVMs = "/vms"

// VM is one VM in the platform's list.
type VM struct {
	Name    string
	Leaving bool
}

// VMList is the platform's lagging list of live VMs.
type VMList struct {
	VMs []VM
}

// Problem is an engine's refusal of an order, such as an old fencing number (409).
type Problem struct {
	Code   string
	Detail string
}

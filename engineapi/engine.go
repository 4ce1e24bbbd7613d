package engineapi

// Paths of a model engine. Completions use the OpenAI chat protocol.
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
	// HeaderResumeOffset is the number of SSE events that the client has already received.
	HeaderResumeOffset = "X-Resume-Offset"
	// HeaderPriority is defined by RFC 9218.
	HeaderPriority = "Priority"
)

// Order tells an engine to load or unload a model. The engine
// responds with status 202 before it has executed the order.
type Order struct {
	Model    string
	Version  string
	MemoryMB uint64 `json:",omitempty"`
	// CheckpointMB is the size of the checkpoint in the weight store; 0 means MemoryMB.
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

// Held is one model that occupies memory of an engine.
type Held struct {
	Model    string
	Version  string
	MemoryMB uint64
	Fence    uint64
	State    HeldState
	Adapters []string `json:",omitempty"`
	// CachedIn is the location in which the checkpoint was found: Memory, Disk or Remote.
	CachedIn string `json:",omitempty"`
}

// State is what an engine currently holds.
type State struct {
	MemoryMB     uint64
	FreeMB       uint64
	HighestFence uint64
	Role         string
	Held         []Held
	// Cached maps the checkpoints on the engine's VM, as model@version, to Memory or Disk.
	Cached map[string]string `json:",omitempty"`
}

// LoadReport is the load of an engine AgeMS ago.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
	AgeMS   int64
}

// CacheEvent is published when a prompt prefix is added to or removed from the cache. Sequence numbers may have gaps.
type CacheEvent struct {
	Sequence uint64
	Model    string
	Prefix   uint64
	Dropped  bool
}

// PathWeights is the path of the weight store. GET PathWeights+model@version streams a checkpoint. The store
// responds with status 429 and Retry-After if the load rate is exceeded.
const PathWeights = "/weights/"

// PathVMs is the path of the platform's list of VMs. The response is a VMList, which shows changes with a delay.
const PathVMs = "/vms"

// VM is one VM in the platform's list.
type VM struct {
	Name    string
	Leaving bool
}

// VMList is the platform's list of running VMs. It shows changes with a delay.
type VMList struct {
	VMs []VM
}

// Problem is the response of an engine that refuses an order, for example because of an old fencing token (409).
type Problem struct {
	Code   string
	Detail string
}

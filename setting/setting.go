package setting

// Role is one part that a process plays.
type Role string

// Roles of a process.
const (
	RoleEntry   Role = "Entry"
	RoleAgent   Role = "Agent"
	RoleControl Role = "Control"
)

// Settings holds everything that a process is told at its start.
type Settings struct {
	// Node is the process's name, unique in the deployment.
	Node string `validate:"required,max=64,node"`
	// Region and DataCentre say where the VM stands.
	Region     string `validate:"max=64"`
	DataCentre string `validate:"required,max=64"`
	Roles      []Role `validate:"required,min=1,unique,dive,oneof=Entry Agent Control"`
	// Listen is the HOST:PORT for the system's own processes.
	Listen string `validate:"omitempty,address"`
	// Advertise is what others dial; Listen when empty.
	Advertise string `validate:"omitempty,address"`
	// Controls are the HOST:PORTs of the control members.
	Controls []string `validate:"required,min=1,max=9,unique,dive,address"`
	Entry    Entry
	Agent    Agent
	Control  Control
	Operator Operator
	TLS      TLS
	Log      Log
	Lease    Lease
}

// Entry holds the settings of the entry role.
type Entry struct {
	// CallerListen is the HOST:PORT for callers and the balancer.
	CallerListen string `validate:"omitempty,address"`
	// MaxBodyBytes bounds a caller's body.
	MaxBodyBytes int64 `validate:"min=1,max=67108864"`
	// DefaultDeadlineMS holds where a caller names none; MaxDeadlineMS bounds what they ask.
	DefaultDeadlineMS int64 `validate:"min=1,max=3600000"`
	MaxDeadlineMS     int64 `validate:"min=1,max=3600000"`
	// DrainMS is how long a stop waits for open requests.
	DrainMS int64 `validate:"min=0,max=3600000"`
	// BalancerMS is how long the balancer takes to turn away after the health check fails.
	BalancerMS int64 `validate:"min=0,max=600000"`
	// CallerKeys maps a caller's name to the file that holds its key; empty lets everyone in.
	CallerKeys map[string]string `validate:"dive,keys,required,max=64,endkeys,required"`
	// ServeStale serves on without a lease.
	ServeStale bool
	// RetryRatio is the share of requests that may be retried.
	RetryRatio float64 `validate:"min=0,max=1"`
}

// Agent holds the settings of the agent role.
type Agent struct {
	// Endpoint is the endpoint's name, Service the service that it serves.
	Endpoint string `validate:"max=64"`
	Service  string `validate:"max=64"`
	// EndpointURL is the engine's or the plain service's address.
	EndpointURL string `validate:"omitempty,http_url"`
	// Kind is Model or Plain.
	Kind string `validate:"omitempty,oneof=Model Plain"`
	// MemoryMB is the accelerator memory that models may take.
	MemoryMB uint64 `validate:"max=100000000"`
	// Slots is how many requests run at once.
	Slots int `validate:"min=1,max=4096"`
	// PlatformURL is the platform's list of VMs.
	PlatformURL string `validate:"omitempty,http_url"`
	// PlatformPollMS is how often the list is read.
	PlatformPollMS int64 `validate:"min=1,max=60000"`
	// AnswerBytes and AnswerKeepMS bound the answers kept for resends.
	AnswerBytes  int64 `validate:"min=0,max=1073741824"`
	AnswerKeepMS int64 `validate:"min=0,max=604800000"`
}

// Control holds the settings of the control role.
type Control struct {
	// DataFolder holds the log and snapshots; empty keeps them in memory.
	DataFolder string
	// Bootstrap lists the first members as NAME=HOST:PORT; the same on each.
	Bootstrap []string `validate:"max=9,unique,dive,member"`
	// StandingLearner makes this VM a spare that replaces a voter that stays gone.
	StandingLearner bool
	// ReplaceAfterMS is how long a voter is gone before a spare replaces it.
	ReplaceAfterMS int64 `validate:"min=0,max=86400000"`
	// SnapshotEntries is how many log entries pass between snapshots.
	SnapshotEntries int `validate:"min=1,max=10000000"`
	// CatalogFile is applied once, when the state is empty.
	CatalogFile string
	// StoreRate is loads a second, StoreSlots loads at once at full speed.
	StoreRate  float64 `validate:"gt=0,max=1000"`
	StoreSlots int     `validate:"min=1,max=1000"`
	// AdapterBudget is the adapters in transit over all workers.
	AdapterBudget int `validate:"min=1,max=100000"`
}

// Operator holds the settings of the operator API, dumps and metrics.
type Operator struct {
	// Listen is the HOST:PORT for operators.
	Listen string `validate:"omitempty,address"`
	// TokenFiles maps an operator's name to the file that holds its token.
	TokenFiles map[string]string `validate:"dive,keys,required,max=64,endkeys,required"`
}

// TLS holds the files by which peers show who they are.
type TLS struct {
	CAFile   string
	CertFile string
	KeyFile  string
	// AllowPlaintext permits sessions without TLS beyond loopback.
	AllowPlaintext bool
	// ReloadMS is how often the files are read again.
	ReloadMS int64 `validate:"min=0,max=86400000"`
}

// Log holds what is logged.
type Log struct {
	// Verbosity 0 logs events, 1 adds detail for debugging.
	Verbosity int `validate:"min=0,max=2"`
}

// Lease holds the times of the configuration lease.
type Lease struct {
	// LengthMS is how long a node serves after it last heard from the quorum.
	LengthMS int64 `validate:"min=100,max=60000"`
}

// Kind says what stands behind an agent.
type Kind string

// Kinds of endpoints.
const (
	KindModel Kind = "Model"
	KindPlain Kind = "Plain"
)

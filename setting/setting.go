package setting

// Role is a function that a process performs in the deployment.
type Role string

// Roles of a process.
const (
	RoleEntry   Role = "Entry"
	RoleAgent   Role = "Agent"
	RoleControl Role = "Control"
)

// Settings holds the configuration of a process, which is loaded once at startup.
type Settings struct {
	// Node is the process's name, unique in the deployment.
	Node string `validate:"required,max=64,node"`
	// Region and DataCentre are the location of the VM.
	Region     string `validate:"max=64"`
	DataCentre string `validate:"required,max=64"`
	Roles      []Role `validate:"required,min=1,unique,dive,oneof=Entry Agent Control"`
	// Listen is the HOST:PORT for connections from the deployment's other processes.
	Listen string `validate:"omitempty,address"`
	// Advertise is the address that other processes connect to; it defaults to Listen.
	Advertise string `validate:"omitempty,address"`
	// Controls are the addresses of the control members as HOST:PORT.
	Controls []string `validate:"required,min=1,max=9,unique,dive,address"`
	Entry    Entry
	Agent    Agent
	Control  Control
	Operator Operator
	TLS      TLS
	Log      Log
	Lease    Lease
	Limits   Limits
}

// Entry holds the settings of the entry role.
type Entry struct {
	// CallerListen is the HOST:PORT for callers and the load balancer.
	CallerListen string `validate:"omitempty,address"`
	// MaxBodyBytes limits the size of a caller's request body.
	MaxBodyBytes int64 `validate:"min=1,max=67108864"`
	// DefaultDeadlineMS applies to requests without a deadline; MaxDeadlineMS limits the deadline that a caller may request.
	DefaultDeadlineMS int64 `validate:"min=1,max=3600000"`
	MaxDeadlineMS     int64 `validate:"min=1,max=3600000"`
	// DrainMS is how long a graceful shutdown waits for open requests.
	DrainMS int64 `validate:"min=0,max=3600000"`
	// BalancerMS is how long the load balancer takes to stop sending requests after the health check fails.
	BalancerMS int64 `validate:"min=0,max=600000"`
	// CallerKeys maps a caller's name to the file that holds its key. If it is empty, requests need no key.
	CallerKeys map[string]string `validate:"dive,keys,required,max=64,endkeys,required"`
	// ServeStale keeps the entry serving after its configuration lease has expired.
	ServeStale bool
	// RetryRatio is the share of requests that may be retried.
	RetryRatio float64 `validate:"min=0,max=1"`
}

// Agent holds the settings of the agent role.
type Agent struct {
	// Endpoint is the endpoint's name, Service the name of the service that it provides.
	Endpoint string `validate:"max=64"`
	Service  string `validate:"max=64"`
	// EndpointURL is the base URL of the engine or plain service.
	EndpointURL string `validate:"omitempty,http_url"`
	// Kind is the kind of the endpoint, Model or Plain.
	Kind string `validate:"omitempty,oneof=Model Plain"`
	// MemoryMB is the accelerator memory available to models.
	MemoryMB uint64 `validate:"max=100000000"`
	// Slots is the number of requests that may run concurrently.
	Slots int `validate:"min=1,max=4096"`
	// PlatformURL is the URL of the platform's VM list.
	PlatformURL string `validate:"omitempty,http_url"`
	// PlatformPollMS is the interval at which the VM list is polled.
	PlatformPollMS int64 `validate:"min=1,max=60000"`
	// AnswerBytes and AnswerKeepMS limit the total size and the age of responses that are kept for resent requests.
	AnswerBytes  int64 `validate:"min=0,max=1073741824"`
	AnswerKeepMS int64 `validate:"min=0,max=604800000"`
}

// Control holds the settings of the control role.
type Control struct {
	// DataFolder is the directory for the replicated log and its snapshots. If it is empty, they are kept in memory.
	DataFolder string
	// Bootstrap lists the initial members as NAME=HOST:PORT; it must be the same on each of them.
	Bootstrap []string `validate:"max=9,unique,dive,member"`
	// StandingLearner makes this VM a standby learner, which replaces a voter after ReplaceAfterMS.
	StandingLearner bool
	// ReplaceAfterMS is how long a voter must be unreachable before a standby learner replaces it.
	ReplaceAfterMS int64 `validate:"min=0,max=86400000"`
	// SnapshotEntries is the number of log entries between two snapshots.
	SnapshotEntries int `validate:"min=1,max=10000000"`
	// CatalogFile is the catalog that is applied once, if the deployment has none yet.
	CatalogFile string
	// StoreRate is how many loads per second the weight store accepts, StoreSlots how many run concurrently at full speed.
	StoreRate  float64 `validate:"gt=0,max=1000"`
	StoreSlots int     `validate:"min=1,max=1000"`
	// AdapterBudget is the adapter transit budget, which limits the adapter loads in progress at all endpoints.
	AdapterBudget int `validate:"min=1,max=100000"`
}

// Operator holds the settings of the operator API, dumps and metrics.
type Operator struct {
	// Listen is the HOST:PORT for operators.
	Listen string `validate:"omitempty,address"`
	// TokenFiles maps an operator's name to the file that holds the operator's token.
	TokenFiles map[string]string `validate:"dive,keys,required,max=64,endkeys,required"`
}

// TLS holds the settings of mutual TLS between the deployment's processes.
type TLS struct {
	CAFile   string
	CertFile string
	KeyFile  string
	// AllowPlaintext permits connections without TLS to and from addresses other than loopback.
	AllowPlaintext bool
	// ReloadMS is the interval at which the files are reloaded.
	ReloadMS int64 `validate:"min=0,max=86400000"`
}

// Log holds the settings of the process's log.
type Log struct {
	// Verbosity 0 logs events; 1 and above add details for debugging.
	Verbosity int `validate:"min=0,max=2"`
}

// Lease holds the settings of the configuration lease.
type Lease struct {
	// LengthMS is how long a node keeps serving after its last contact with the quorum.
	LengthMS int64 `validate:"min=100,max=60000"`
}

// Limits holds what the process may use of its VM.
type Limits struct {
	// MemoryMB is the memory, of which clients and peers may take up a part.
	MemoryMB int `validate:"min=64,max=100000000"`
	// FileDescriptors is the number of file descriptors, 0 for the operating system's limit.
	FileDescriptors int `validate:"min=0,max=100000000"`
}

// Kind is the kind of endpoint that an agent serves.
type Kind string

// Kinds of endpoints.
const (
	KindModel Kind = "Model"
	KindPlain Kind = "Plain"
)

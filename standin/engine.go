package standin

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"burdocksaddle/engineapi"
)

const (
	defaultMemoryMB     = 80_000
	defaultSlots        = 8
	defaultMaxWaiting   = 256
	defaultMaxTokens    = 4096
	defaultPrefillSteps = 4
	defaultPrefixes     = 64
	defaultCheckpoints  = 4
	defaultTokenTime    = 20 * time.Millisecond
	defaultUnloadTime   = 100 * time.Millisecond
	defaultAdapterTime  = 6 * time.Millisecond
	defaultReportLag    = 500 * time.Millisecond
	defaultEventLag     = time.Second
	defaultRunRetention = 30 * time.Second
	remoteLoadTime      = 4 * time.Second
	diskLoadDivisor     = 4
	memoryLoadDivisor   = 20
)

// Counts holds the counters of an engine, for checks in tests.
type Counts struct {
	// Overcommits counts the loads that raised the allocated memory above the capacity.
	Overcommits int
	// PeakMB is the maximum memory allocated at once, by replicas that are loading, loaded or unloading.
	PeakMB uint64
	// PeakReplicas is the maximum number of replicas at once by model.
	PeakReplicas map[string]int
	Loads        int
	LostLoads    int
	Unloads      int
	// RefusedOrders counts orders refused because of an old fencing token or insufficient memory.
	RefusedOrders int
	// OldOrders counts executed orders with a fencing token below the highest one seen.
	OldOrders int
	Cancelled int
	// Runs counts runs by request ID. Uncounted is the number of runs with IDs beyond the limit.
	Runs      map[string]int
	Uncounted int
}

// Engine simulates a model engine with continuous batching.
type Engine struct {
	base
	memoryMB         uint64
	slots            int
	maxWaiting       int
	maxTokens        int
	minTokens        int
	prefillSteps     int
	eventGap         uint64
	tokenTime        time.Duration
	unloadTime       time.Duration
	reportLag        time.Duration
	eventLag         time.Duration
	retention        time.Duration
	checkFencing     bool
	refuseOvercommit bool
	storeURL         string
	client           *http.Client
	loadTime         func(order engineapi.Order, cachedIn string) time.Duration
	adapterTime      func(engineapi.Order) time.Duration
	mux              *http.ServeMux
	wake             chan struct{}

	mu           sync.Mutex
	highestFence uint64
	role         string
	replicas     []*replica
	disk         checkpointCache
	memory       checkpointCache
	counts       Counts
	runCount     runCounter
	runs         map[string]*run
	running      []*run
	waiting      []*run
	retained     []*run
	arrivals     uint64
	reports      []reportVersion
	prefixes     prefixCache
}

// EngineOption configures an Engine.
type EngineOption func(*Engine)

// Memory sets the accelerator memory in MB.
func Memory(mb uint64) EngineOption { return func(e *Engine) { e.memoryMB = mb } }

// Slots sets the maximum number of requests that generate tokens concurrently.
func Slots(n int) EngineOption { return func(e *Engine) { e.slots = n } }

// MaxWaiting sets the maximum number of requests that wait for a slot.
func MaxWaiting(n int) EngineOption { return func(e *Engine) { e.maxWaiting = n } }

// TokenTime sets the time between two tokens of a request.
func TokenTime(d time.Duration) EngineOption { return func(e *Engine) { e.tokenTime = d } }

// PrefillSteps sets the number of steps before the first token of a prompt whose prefix is not cached.
func PrefillSteps(n int) EngineOption { return func(e *Engine) { e.prefillSteps = n } }

// MinTokens pads shorter responses to n tokens.
func MinTokens(n int) EngineOption { return func(e *Engine) { e.minTokens = n } }

// LoadTime sets a function that returns the duration of a load for the location of its checkpoint. With a weight
// store, a remote checkpoint is downloaded from there and then takes the load time of a checkpoint in memory.
func LoadTime(f func(order engineapi.Order, cachedIn string) time.Duration) EngineOption {
	return func(e *Engine) { e.loadTime = f }
}

// AdapterTime sets a function that returns how long it takes to load an adapter.
func AdapterTime(f func(engineapi.Order) time.Duration) EngineOption {
	return func(e *Engine) { e.adapterTime = f }
}

// UnloadTime sets the duration of an unload after the last request of the replica has ended.
func UnloadTime(d time.Duration) EngineOption { return func(e *Engine) { e.unloadTime = d } }

// WeightStore sets the base URL of the weight store and the client for requests to it.
func WeightStore(url string, client *http.Client) EngineOption {
	return func(e *Engine) { e.storeURL, e.client = url, client }
}

// Checkpoints sets how many checkpoints are cached in memory and on disk.
func Checkpoints(memory, disk int) EngineOption {
	return func(e *Engine) { e.memory.limit, e.disk.limit = memory, disk }
}

// ReportLag sets the delay of the load report.
func ReportLag(d time.Duration) EngineOption { return func(e *Engine) { e.reportLag = d } }

// EventLag sets the delay of cache events.
func EventLag(d time.Duration) EngineOption { return func(e *Engine) { e.eventLag = d } }

// EventGap omits every n-th cache event; 0 omits none.
func EventGap(n uint64) EngineOption { return func(e *Engine) { e.eventGap = n } }

// Prefixes sets the maximum number of cached prompt prefixes.
func Prefixes(n int) EngineOption { return func(e *Engine) { e.prefixes.limit = n } }

// RunRetention sets how long the tokens of an ended run can still be read.
func RunRetention(d time.Duration) EngineOption { return func(e *Engine) { e.retention = d } }

// CheckFencing refuses orders with a fencing token below the highest one seen.
func CheckFencing(on bool) EngineOption { return func(e *Engine) { e.checkFencing = on } }

// RefuseOvercommit refuses loads that do not fit into the free memory.
func RefuseOvercommit(on bool) EngineOption { return func(e *Engine) { e.refuseOvercommit = on } }

// NewEngine returns an engine without models that stops when ctx ends.
func NewEngine(ctx context.Context, options ...EngineOption) *Engine {
	e := &Engine{
		memoryMB: defaultMemoryMB, slots: defaultSlots, maxWaiting: defaultMaxWaiting,
		maxTokens: defaultMaxTokens, prefillSteps: defaultPrefillSteps,
		tokenTime: defaultTokenTime, unloadTime: defaultUnloadTime,
		reportLag: defaultReportLag, eventLag: defaultEventLag, retention: defaultRunRetention,
		client: http.DefaultClient, loadTime: LoadTimes(remoteLoadTime),
		adapterTime: func(engineapi.Order) time.Duration { return defaultAdapterTime },
		wake:        make(chan struct{}, 1),
		runs:        map[string]*run{},
		memory:      checkpointCache{limit: defaultCheckpoints},
		disk:        checkpointCache{limit: defaultCheckpoints * defaultCheckpoints},
		prefixes:    prefixCache{limit: defaultPrefixes},
	}
	e.counts.PeakReplicas = map[string]int{}
	for _, option := range options {
		option(e)
	}
	e.init(ctx)
	e.onSet = e.applyFault
	e.mux = e.routes()
	e.spawn(e.generate)
	return e
}

// ServeHTTP implements the engine protocol of package engineapi.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, e.mux)
}

// Counts returns a copy of the engine's counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.PeakReplicas = maps.Clone(counts.PeakReplicas)
	counts.Runs = e.runCount.copy()
	counts.Uncounted = e.runCount.uncounted
	return counts
}

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathLoad, e.serveOrder(e.load))
	mux.HandleFunc("POST "+engineapi.PathUnload, e.serveOrder(e.unload))
	mux.HandleFunc("POST "+engineapi.PathAdapter, e.serveOrder(e.loadAdapter))
	mux.HandleFunc("POST "+engineapi.PathRole, e.serveOrder(e.setRole))
	mux.HandleFunc("GET "+engineapi.PathState, e.serveState)
	mux.HandleFunc("GET "+engineapi.PathReport, e.serveReport)
	mux.HandleFunc("GET "+engineapi.PathEvents, e.serveEvents)
	mux.HandleFunc("POST "+engineapi.PathCompletions, e.serveCompletion)
	mux.HandleFunc("POST "+engineapi.PathCancel+"{id}", e.serveCancel)
	mux.HandleFunc("DELETE "+engineapi.PathCancel+"{id}", e.serveCancel)
	mux.HandleFunc("GET "+engineapi.PathKV+"{prefix}", e.serveExport)
	mux.HandleFunc("PUT "+engineapi.PathKV+"{prefix}", e.serveImport)
	mux.HandleFunc("GET "+engineapi.PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+engineapi.PathCounts, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Counts())
	})
	return mux
}

func (e *Engine) applyFault(fault Fault) {
	if fault.DieInLoad {
		e.abortLoads()
	}
}

// LoadTimes returns load times based on that of a remote checkpoint:
// a quarter of it from disk and a twentieth from memory.
func LoadTimes(remote time.Duration) func(order engineapi.Order, cachedIn string) time.Duration {
	return func(_ engineapi.Order, cachedIn string) time.Duration {
		switch cachedIn {
		case engineapi.CacheMemory:
			return remote / memoryLoadDivisor
		case engineapi.CacheDisk:
			return remote / diskLoadDivisor
		default:
			return remote
		}
	}
}

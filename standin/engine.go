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
	defaultKeepRuns     = 30 * time.Second
	remoteLoadTime      = 4 * time.Second
	diskShare           = 4
	memoryShare         = 20
)

// Counts is what an engine has seen, for tests to judge.
type Counts struct {
	// Overcommits counts the loads that took held memory above the engine's.
	Overcommits int
	// PeakMB is the most memory held at once: loading, loaded and unloading.
	PeakMB uint64
	// PeakReplicas is the most replicas held at once by model.
	PeakReplicas map[string]int
	Loads        int
	LostLoads    int
	Unloads      int
	// RefusedOrders counts refusals for an old fence or for memory.
	RefusedOrders int
	// OldOrders counts orders carried out under a fence below the highest seen.
	OldOrders int
	Cancelled int
	// Runs counts runs by request id; Uncounted those of ids beyond the bound.
	Runs      map[string]int
	Uncounted int
}

// Engine stands in for a model engine with continuous batching.
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
	keepRuns         time.Duration
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
	held         []*held
	disk         shelf
	memory       shelf
	counts       Counts
	runCount     runCounter
	runs         map[string]*run
	running      []*run
	waiting      []*run
	kept         []*run
	arrivals     uint64
	reports      []reportVersion
	prefixes     prefixCache
}

// EngineOption sets up an Engine.
type EngineOption func(*Engine)

// Memory sets the accelerator memory in MB.
func Memory(mb uint64) EngineOption { return func(e *Engine) { e.memoryMB = mb } }

// Slots sets how many requests generate at once.
func Slots(n int) EngineOption { return func(e *Engine) { e.slots = n } }

// MaxWaiting bounds the requests that wait for a slot.
func MaxWaiting(n int) EngineOption { return func(e *Engine) { e.maxWaiting = n } }

// TokenTime sets the time between two tokens of a request.
func TokenTime(d time.Duration) EngineOption { return func(e *Engine) { e.tokenTime = d } }

// PrefillSteps sets how many steps a prompt without a cached prefix takes before its first token.
func PrefillSteps(n int) EngineOption { return func(e *Engine) { e.prefillSteps = n } }

// MinTokens pads shorter answers to n tokens.
func MinTokens(n int) EngineOption { return func(e *Engine) { e.minTokens = n } }

// LoadTime sets how long a load takes by where its checkpoint is cached;
// with a weight store the remote part is fetched from there.
func LoadTime(f func(order engineapi.Order, cachedIn string) time.Duration) EngineOption {
	return func(e *Engine) { e.loadTime = f }
}

// AdapterTime sets how long an adapter takes to load.
func AdapterTime(f func(engineapi.Order) time.Duration) EngineOption {
	return func(e *Engine) { e.adapterTime = f }
}

// UnloadTime sets how long an unload takes after its last request.
func UnloadTime(d time.Duration) EngineOption { return func(e *Engine) { e.unloadTime = d } }

// WeightStore sets the base URL of the weight store.
func WeightStore(url string, client *http.Client) EngineOption {
	return func(e *Engine) { e.storeURL, e.client = url, client }
}

// Checkpoints sets how many checkpoints stay cached in memory and on disk.
func Checkpoints(memory, disk int) EngineOption {
	return func(e *Engine) { e.memory.limit, e.disk.limit = memory, disk }
}

// ReportLag sets how late the load report is.
func ReportLag(d time.Duration) EngineOption { return func(e *Engine) { e.reportLag = d } }

// EventLag sets how late cache events are published.
func EventLag(d time.Duration) EngineOption { return func(e *Engine) { e.eventLag = d } }

// EventGap leaves out every n-th cache event; 0 leaves out none.
func EventGap(n uint64) EngineOption { return func(e *Engine) { e.eventGap = n } }

// Prefixes bounds the cached prompt prefixes.
func Prefixes(n int) EngineOption { return func(e *Engine) { e.prefixes.limit = n } }

// KeepRuns sets how long the tokens of an ended request can still be read.
func KeepRuns(d time.Duration) EngineOption { return func(e *Engine) { e.keepRuns = d } }

// CheckFencing refuses orders with a fence below the highest seen.
func CheckFencing(on bool) EngineOption { return func(e *Engine) { e.checkFencing = on } }

// RefuseOvercommit refuses loads that don't fit into free memory.
func RefuseOvercommit(on bool) EngineOption { return func(e *Engine) { e.refuseOvercommit = on } }

// NewEngine returns an empty model engine that ends with ctx.
func NewEngine(ctx context.Context, options ...EngineOption) *Engine {
	e := &Engine{
		memoryMB: defaultMemoryMB, slots: defaultSlots, maxWaiting: defaultMaxWaiting,
		maxTokens: defaultMaxTokens, prefillSteps: defaultPrefillSteps,
		tokenTime: defaultTokenTime, unloadTime: defaultUnloadTime,
		reportLag: defaultReportLag, eventLag: defaultEventLag, keepRuns: defaultKeepRuns,
		client: http.DefaultClient, loadTime: LoadTimes(remoteLoadTime),
		adapterTime: func(engineapi.Order) time.Duration { return defaultAdapterTime },
		wake:        make(chan struct{}, 1),
		runs:        map[string]*run{},
		memory:      shelf{limit: defaultCheckpoints},
		disk:        shelf{limit: defaultCheckpoints * defaultCheckpoints},
		prefixes:    prefixCache{limit: defaultPrefixes},
	}
	e.counts.PeakReplicas = map[string]int{}
	for _, option := range options {
		option(e)
	}
	e.init(ctx)
	e.onSet = e.faultSet
	e.mux = e.routes()
	e.start(e.generate)
	return e
}

// ServeHTTP speaks the engine's protocol of package engineapi.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, e.mux)
}

// Counts returns what the engine has seen so far.
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

func (e *Engine) faultSet(fault Fault) {
	if fault.DieInLoad {
		e.loseLoads()
	}
}

// LoadTimes returns load times for a checkpoint that takes remote from the store: a quarter from disk, a twentieth from memory.
func LoadTimes(remote time.Duration) func(order engineapi.Order, cachedIn string) time.Duration {
	return func(_ engineapi.Order, cachedIn string) time.Duration {
		switch cachedIn {
		case engineapi.CacheMemory:
			return remote / memoryShare
		case engineapi.CacheDisk:
			return remote / diskShare
		default:
			return remote
		}
	}
}

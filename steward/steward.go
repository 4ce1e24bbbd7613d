package steward

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"burdocksaddle/delta"
	"burdocksaddle/endpoint"
	"burdocksaddle/holder"
	"burdocksaddle/quarantine"
	"burdocksaddle/quorum"
	"burdocksaddle/quota"
	"burdocksaddle/route"
	"burdocksaddle/scaling"
	"burdocksaddle/stream"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	// changeTimeout is below the 1 s after which an operator's client tries another steward.
	changeTimeout = 900 * time.Millisecond
	// consensusTick results in elections of 0.5 to 1 s. Links between stewards take 1 to 3 ms, and a disk sync 1 to 5 ms.
	consensusTick = 50 * time.Millisecond
	// snapshotEntries limits the entries that a restart applies, snapshotBytes the disk space of the log.
	snapshotEntries = 200
	snapshotBytes   = 16 << 20
)

// Config configures a Steward.
type Config struct {
	Name    string
	Address string
	DataDir string
	// Peers are the addresses of all stewards in the settings.
	Peers      []string
	FirstStart bool
	// FaultTolerance is how many stewards may lose their disks at the same time without losing acknowledged changes.
	FaultTolerance int
	// Lease is how long an endpoint still accepts orders of its last holder.
	Lease time.Duration
	// Quota are the bounds of teams' rate limits.
	Quota quota.Bounds
}

// Steward is one member of the group that replicates the operator's table and the assignment of endpoints.
type Steward struct {
	config    Config
	log       logr.Logger
	pool      *wire.Pool
	metrics   *metrics.Set
	quorumLog *quorum.Log

	decodeTable   func([]byte) (*route.Table, error)
	listEndpoints func(context.Context) ([]endpoint.State, int, error)
	fetchReport   func(context.Context, string) (endpoint.Report, error)
	sendOrder     func(context.Context, endpoint.State, scaling.Order, uint64) (scaling.Outcome, error)
	planner       *scaling.Planner
	// quorumCheck is a semaphore that admits one quorum check at a time; it guards quorumVerifiedAt.
	quorumCheck      chan struct{}
	quorumVerifiedAt time.Time
	draining         atomic.Bool

	mu           sync.Mutex
	table        *route.Table
	rawTable     []byte
	tableVersion uint64
	// tables holds the raw table and the ones before it, for transfers to gateways.
	tables tableHistory
	// holders is the committed assignment of endpoints to stewards.
	holders holder.Table
	// held are the endpoints held by this steward, by address. stopping are those whose holders have been told to stop.
	held     map[string]*heldEndpoint
	stopping []*heldEndpoint
	// changed is closed whenever something changes that gateways receive.
	changed chan struct{}
	demands map[string]demandReport
	// gatewayStreams counts the open streams of gateways.
	gatewayStreams int
	// endpointView is the gateways' view of the endpoints while this steward leads.
	endpointView    *endpoint.View
	leading         bool
	leadershipSince time.Time
	// reports are the last reports on endpoints, by address. lastReportAt is when each steward last sent a report.
	reports      map[string]endpointReport
	lastReportAt map[string]time.Time
	// readyFences are the fencing tokens under which holders may issue orders, by endpoint address.
	readyFences map[string]uint64
	// quarantine is the committed list of requests and parts of prompts that crash endpoints, trials when these requests may be tried.
	// crashReports is what gateways reported for it, suspects are the parts and requests that they are asked about.
	quarantine   quarantine.Table
	trials       quarantine.Trials
	crashReports crashReports
	suspects     []uint64
	// starts are where streams began, as gateways told this steward.
	starts *stream.Starts
	// software are the committed software versions of the services.
	software stream.Software
	// turns paces the requests to endpoints with a limit while this steward leads.
	turns *endpoint.Turns
	// quotas are the buckets of teams' rate limits while this steward leads.
	quotas quotaBuckets
	// paces are the paces of endpoints that gateways reported and the leader has not yet taken into account.
	paces []*wirepb.EndpointPace
	// adaptersInUse are the adapters that gateways use, by endpoint address.
	adaptersInUse map[string]*wirepb.EndpointUse
	// leaderWake and holderWake wake the loops of runLeader and runHolders.
	leaderWake, holderWake chan struct{}
}

// demandReport is a gateway's last report on its demand.
type demandReport struct {
	at     time.Time
	models []*wirepb.GatewayDemand
	// leaving are the endpoints that told the gateway that they are leaving.
	leaving []*wirepb.LeavingEndpoint
	// limits are what endpoints told the gateway about their limits, as of at.
	limits []*wirepb.EndpointLimit
	// newRequests counts the requests that the leader has not yet taken into account, by model.
	newRequests map[string]requestCounts
}

// requestCounts counts a model's requests, and those whose client was told to retry later; missedAt counts the resumed streams among these by
// software version.
type requestCounts struct {
	received, missed int
	missedAt         map[string]int
}

// add adds a gateway's report.
func (c requestCounts) add(d *wirepb.GatewayDemand) requestCounts {
	next := requestCounts{received: c.received + int(d.GetCame()), missed: c.missed + int(d.GetMissed()), missedAt: maps.Clone(c.missedAt)}
	for _, r := range d.GetResuming() {
		if r.GetMissed() == 0 {
			continue
		}
		if next.missedAt == nil {
			next.missedAt = map[string]int{}
		}
		next.missedAt[r.GetSoftware()] += int(r.GetMissed())
	}
	return next
}

// endpointReport is the last report on an endpoint by its holder.
type endpointReport struct {
	at    time.Time
	state endpoint.State
}

// Option configures a Steward.
type Option func(*Steward)

// WithLog sets the logger.
func WithLog(log logr.Logger) Option { return func(s *Steward) { s.log = log } }

// WithMetrics sets the set that the metrics are registered in.
func WithMetrics(set *metrics.Set) Option { return func(s *Steward) { s.metrics = set } }

// WithTableDecoder sets the function that decodes an operator's table.
func WithTableDecoder(decode func([]byte) (*route.Table, error)) Option {
	return func(s *Steward) { s.decodeTable = decode }
}

// WithListEndpoints sets the function that reads the platform's list of endpoints and counts the entries that it could not read.
func WithListEndpoints(list func(context.Context) ([]endpoint.State, int, error)) Option {
	return func(s *Steward) { s.listEndpoints = list }
}

// WithFetchReport sets the function that reads an endpoint's report.
func WithFetchReport(fetch func(context.Context, string) (endpoint.Report, error)) Option {
	return func(s *Steward) { s.fetchReport = fetch }
}

// WithSendOrder sets the function that sends an order to an endpoint under a fencing token.
func WithSendOrder(send func(context.Context, endpoint.State, scaling.Order, uint64) (scaling.Outcome, error)) Option {
	return func(s *Steward) { s.sendOrder = send }
}

// Open opens the data directory and returns a Steward. Its errors are those of quorum.Open.
func Open(config Config, pool *wire.Pool, options ...Option) (*Steward, error) {
	s := &Steward{
		config: config, log: logr.Discard(), pool: pool, metrics: metrics.NewSet(), planner: scaling.New(), changed: make(chan struct{}),
		demands: map[string]demandReport{}, reports: map[string]endpointReport{}, lastReportAt: map[string]time.Time{}, readyFences: map[string]uint64{},
		held: map[string]*heldEndpoint{}, endpointView: &endpoint.View{}, turns: endpoint.NewTurns(), starts: stream.NewStarts(maxStarts), tables: tableHistory{encodeDelta: delta.Encode}, leaderWake: make(chan struct{}, 1), holderWake: make(chan struct{}, 1), quorumCheck: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(s)
	}
	var err error
	s.quorumLog, err = quorum.Open(quorum.Config{
		DataDir: config.DataDir, Name: config.Address, Address: config.Address, Bootstrap: peersOf(config.Peers),
		Voters: 2*config.FaultTolerance + 1, JoinOnly: !config.FirstStart, SnapshotEntries: snapshotEntries, SnapshotBytes: snapshotBytes, ReplaceAfter: replaceAfter,
	}, quorum.WithApply(s.apply), quorum.WithSnapshot(s.snapshot), quorum.WithRestore(s.restore),
		quorum.WithPool(pool), quorum.WithLog(s.log), quorum.WithTick(consensusTick),
		quorum.WithWriteObserver(func(took time.Duration) { s.metrics.GetOrCreateHistogram(metricDiskWrite).Update(took.Seconds()) }),
		quorum.WithFailureObserver(s.countDiskFailure))
	if err == nil {
		s.registerGauges()
	}
	return s, err
}

// replaceAfter is how long a voter may be silent before another steward replaces it. By then its endpoints are reassigned, too.
const replaceAfter = 2 * time.Second

// SetPeers updates the addresses of the stewards from the settings. A steward that has lost its group looks for it at these
// addresses.
func (s *Steward) SetPeers(stewards []string) { s.quorumLog.SetPeers(peersOf(stewards)) }

func peersOf(addresses []string) []quorum.Peer {
	var peers []quorum.Peer
	for _, address := range addresses {
		peers = append(peers, quorum.Peer{Name: address, Address: address})
	}
	return peers
}

// Run runs the steward until the context ends or one of its parts has ended. The returned channel receives the result.
func (s *Steward) Run(ctx context.Context) <-chan error {
	ctx, cancel := context.WithCancel(ctx)
	parts := []<-chan error{s.quorumLog.Run(ctx), s.runLeader(ctx), s.runHolders(ctx)}
	results, done := make(chan error, len(parts)), make(chan error, 1)
	for _, part := range parts {
		go func() { results <- <-part }()
	}
	go func() {
		var err error
		for range parts {
			err = errors.Join(err, <-results)
			cancel()
		}
		done <- err
	}()
	return done
}

// Handlers returns the handlers for calls of other processes.
func (s *Steward) Handlers() wire.Handlers {
	return wire.Handlers{
		Peer: s.quorumLog.Handle, Subscribe: s.handleSubscribe, TableQuery: s.handleTableQuery, TableChange: s.handleTableChange,
		Order: s.handleEndpointOrder, Adapter: s.handleAdapterCall, HolderReport: s.handleHolderReport, Turn: s.handleTurn, Trial: s.handleTrial, Origin: s.handleOrigin, Quota: s.handleQuota,
	}
}

// apply applies a committed change. The table with the highest version is active; changes of the holders apply in sequence.
func (s *Steward) apply(_ uint64, command []byte) any {
	change := &wirepb.StewardChange{}
	if err := proto.Unmarshal(command, change); err != nil {
		s.log.Error(err, "cannot decode committed change")
		return err
	}
	s.installTable(change.GetTable())
	if holders := change.GetHolders(); holders != nil {
		s.applyAssignments(holders)
	}
	s.applyQuarantine(change.GetQuarantine(), false)
	s.applySoftware(change.GetSoftware(), false)
	return nil
}

// installTable activates a table unless one with the same or a higher version is active.
func (s *Steward) installTable(change *wirepb.TableChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change.GetVersion() <= s.tableVersion {
		return
	}
	table, err := s.decodeTable(change.GetTable())
	if err != nil {
		// The table was validated before it was proposed. The previous table stays active on this steward.
		s.log.Error(err, "committed table is invalid", "version", change.GetVersion())
		return
	}
	s.table, s.rawTable, s.tableVersion = table, change.GetTable(), change.GetVersion()
	s.tables.add(s.tableVersion, s.rawTable)
	s.log.Info("table in force", "version", s.tableVersion, "routes", len(table.Routes), "bytes", len(s.rawTable))
	s.notifySubscribersLocked()
}

func (s *Steward) notifySubscribersLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Steward) snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return proto.Marshal(&wirepb.StewardChange{
		Table: &wirepb.TableChange{Table: s.rawTable, Version: s.tableVersion}, Holders: s.holders.ToWire(), Quarantine: s.quarantine.ToWire(),
		Software: s.software.ToWire(),
	})
}

func (s *Steward) restore(_ uint64, state []byte) error {
	change := &wirepb.StewardChange{}
	if err := proto.Unmarshal(state, change); err != nil {
		return err
	}
	s.installTable(change.GetTable())
	s.applyAssignments(change.GetHolders())
	s.applyQuarantine(change.GetQuarantine(), true)
	s.applySoftware(change.GetSoftware(), true)
	return nil
}

// CommitTable commits a table and returns once it is in the log. It fails with ErrNotCommitted.
func (s *Steward) CommitTable(ctx context.Context, raw []byte, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	change, began := &wirepb.TableChange{Table: raw, Version: version}, time.Now()
	for {
		err := s.tryChange(ctx, change)
		if err == nil {
			s.countChange(began, nil)
			return nil
		}
		select {
		case <-ctx.Done():
			s.countChange(began, err)
			return ErrNotCommitted{Cause: err}
		case <-time.After(changeRetryInterval):
		}
	}
}

// changeRetryInterval is the pause between two attempts to commit a change.
const changeRetryInterval = 50 * time.Millisecond

func (s *Steward) tryChange(ctx context.Context, change *wirepb.TableChange) error {
	if s.hasVersion(change.GetVersion()) {
		return nil
	}
	address, self := s.quorumLog.Leader()
	switch {
	case self:
		return s.proposeTable(ctx, change)
	case address == "":
		return quorum.ErrNoQuorum{Reason: "no leader is known"}
	}
	frame := &wirepb.Frame{Body: &wirepb.Frame_TableChange{TableChange: change}}
	reply, err := s.pool.Call(ctx, address, frame, changeTimeout)
	if err != nil {
		return err
	}
	if r := reply.GetTableChangeReply(); !r.GetCommitted() {
		return errRemote{r.GetError()}
	}
	return nil
}

// hasVersion reports whether a table with this version or a higher one has been committed.
func (s *Steward) hasVersion(version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tableVersion >= version
}

func (s *Steward) proposeTable(ctx context.Context, change *wirepb.TableChange) error {
	return s.propose(ctx, &wirepb.StewardChange{Table: change})
}

func (s *Steward) propose(ctx context.Context, change *wirepb.StewardChange) error {
	data, err := proto.Marshal(change)
	if err != nil {
		return err
	}
	_, err = s.quorumLog.Propose(ctx, data)
	return err
}

// handleTableChange commits a table that another steward forwarded.
func (s *Steward) handleTableChange(ctx context.Context, change *wirepb.TableChange) *wirepb.Frame {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	reply := &wirepb.TableChangeReply{}
	if s.hasVersion(change.GetVersion()) {
		reply.Committed = true
	} else if _, self := s.quorumLog.Leader(); !self {
		reply.Error = "this steward does not lead"
	} else if err := s.proposeTable(ctx, change); err != nil {
		reply.Error = err.Error()
	} else {
		reply.Committed = true
	}
	return &wirepb.Frame{Body: &wirepb.Frame_TableChangeReply{TableChangeReply: reply}}
}

// ReadTable returns the latest committed table. It fails with quorum.ErrNoQuorum, quorum.ErrStopped or ErrNoTable.
func (s *Steward) ReadTable(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if _, err := s.quorumLog.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tableVersion == 0 {
		return nil, ErrNoTable{}
	}
	return s.rawTable, nil
}

// HealthStatus returns the HTTP status for health checks, which depends on whether this steward knows a leader and is about to stop.
func (s *Steward) HealthStatus() int {
	if address, _ := s.quorumLog.Leader(); address == "" || s.Draining() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

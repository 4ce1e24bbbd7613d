package steward

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"burdocksaddle/endpoint"
	"burdocksaddle/holder"
	"burdocksaddle/quorum"
	"burdocksaddle/route"
	"burdocksaddle/scaling"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	// changeTimeout is under the second after which an operator moves on to another steward.
	changeTimeout = 900 * time.Millisecond
	// tick makes an election take 0.5 to 1 s; the core's links take 1 to 3 ms and a sync 1 to 5 ms.
	tick = 50 * time.Millisecond
	// snapshotEntries keeps the log within a disk of 128 MB at 100 KB an entry.
	snapshotEntries = 200
)

// Config says who a steward is.
type Config struct {
	Name       string
	Address    string
	DataFolder string
	// Peers are the stewards' addresses by the settings.
	Peers      []string
	FirstStart bool
	// Tolerated is how many stewards may lose their disks at a time without a loss of what was acknowledged.
	Tolerated int
	// Lease is how long an endpoint counts the last holder's orders as those of a holder.
	Lease time.Duration
}

// Steward is one member of the core.
type Steward struct {
	config  Config
	log     logr.Logger
	pool    *wire.Pool
	metrics *metrics.Set
	shared  *quorum.Log

	decode  func([]byte) (*route.Table, error)
	list    func(context.Context) ([]endpoint.State, int, error)
	report  func(context.Context, string) (endpoint.Report, error)
	give    func(context.Context, endpoint.State, scaling.Order, uint64) (scaling.Outcome, error)
	planner *scaling.Planner
	// proving is held by who proves the quorum, for the proof in provenAt.
	proving  chan struct{}
	provenAt time.Time

	mu      sync.Mutex
	table   *route.Table
	raw     []byte
	version uint64
	// holders says which steward gives each endpoint its orders, as committed.
	holders holder.Table
	// held are the endpoints that this steward gives orders to, by address, former those that are about to end.
	held   map[string]*heldEndpoint
	former []*heldEndpoint
	// changed closes at any change that gateways see.
	changed chan struct{}
	demands map[string]demandReport
	// gateways counts the open streams of gateways.
	gateways int
	// view is what gateways see of the endpoints while this steward leads.
	view  *endpoint.View
	leads bool
	since time.Time
	// reports are the holders' words on their endpoints, by the endpoint's address, heard when each steward last sent any.
	reports map[string]endpointReport
	heard   map[string]time.Time
	// ready are the fences under which the endpoints' holders may give orders.
	ready map[string]uint64
	// inUse are the adapters that gateways use, by the endpoint's address.
	inUse map[string]*wirepb.EndpointUse
	// wake tells the leading duty of news, holding the duty that holds endpoints.
	wake, holding chan struct{}
}

// demandReport is a gateway's last word on what it is asked for.
type demandReport struct {
	at     time.Time
	models []*wirepb.GatewayDemand
	// news counts what the leader has not yet taken into account, by model.
	news map[string]counts
}

// counts are a model's requests, and those that were told to come back.
type counts struct{ came, missed int }

// endpointReport is a holder's last word on its endpoint.
type endpointReport struct {
	at    time.Time
	state endpoint.State
}

// Option sets one property of a Steward.
type Option func(*Steward)

// WithLog sets where events are logged.
func WithLog(log logr.Logger) Option { return func(s *Steward) { s.log = log } }

// WithMetrics sets where counters and histograms are kept.
func WithMetrics(set *metrics.Set) Option { return func(s *Steward) { s.metrics = set } }

// WithDecode sets what reads an operator's table.
func WithDecode(decode func([]byte) (*route.Table, error)) Option {
	return func(s *Steward) { s.decode = decode }
}

// WithList sets what reads the platform's list of endpoints and counts the entries that it could not read.
func WithList(list func(context.Context) ([]endpoint.State, int, error)) Option {
	return func(s *Steward) { s.list = list }
}

// WithReport sets what reads an endpoint's report.
func WithReport(report func(context.Context, string) (endpoint.Report, error)) Option {
	return func(s *Steward) { s.report = report }
}

// WithGive sets what gives an endpoint an order under a fencing number.
func WithGive(give func(context.Context, endpoint.State, scaling.Order, uint64) (scaling.Outcome, error)) Option {
	return func(s *Steward) { s.give = give }
}

// Open opens the data folder and makes a Steward; it fails as quorum.Open does.
func Open(config Config, pool *wire.Pool, options ...Option) (*Steward, error) {
	s := &Steward{
		config: config, log: logr.Discard(), pool: pool, metrics: metrics.NewSet(), planner: scaling.New(), changed: make(chan struct{}),
		demands: map[string]demandReport{}, reports: map[string]endpointReport{}, heard: map[string]time.Time{}, ready: map[string]uint64{},
		held: map[string]*heldEndpoint{}, view: &endpoint.View{}, wake: make(chan struct{}, 1), holding: make(chan struct{}, 1), proving: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(s)
	}
	var err error
	s.shared, err = quorum.Open(quorum.Config{
		DataFolder: config.DataFolder, Name: config.Address, Address: config.Address, Bootstrap: peersOf(config.Peers),
		Voters: 2*config.Tolerated + 1, Rejoin: !config.FirstStart, SnapshotEntries: snapshotEntries, ReplaceAfter: replaceAfter,
	}, quorum.WithApply(s.apply), quorum.WithSnapshot(s.snapshot), quorum.WithRestore(s.restore),
		quorum.WithPool(pool), quorum.WithLog(s.log), quorum.WithTick(tick),
		quorum.WithWrote(func(took time.Duration) { s.metrics.GetOrCreateHistogram(metricDisk).Update(took.Seconds()) }))
	if err == nil {
		s.registerGauges()
	}
	return s, err
}

// replaceAfter is how long a voter may be silent before a machine that was added takes its place.
const replaceAfter = 3 * time.Second

// Follow sets the stewards' addresses by the settings, where one that has lost its group looks for it.
func (s *Steward) Follow(stewards []string) { s.shared.SetPeers(peersOf(stewards)) }

func peersOf(addresses []string) []quorum.Peer {
	var peers []quorum.Peer
	for _, address := range addresses {
		peers = append(peers, quorum.Peer{Name: address, Address: address})
	}
	return peers
}

// Run carries the duties out until the context ends; the channel gives the end.
func (s *Steward) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	shared, led, held := s.shared.Run(ctx), s.lead(ctx), s.hold(ctx)
	go func() { ended <- errors.Join(<-shared, <-led, <-held) }()
	return ended
}

// Handlers returns what serves other processes' calls.
func (s *Steward) Handlers() wire.Handlers {
	return wire.Handlers{
		Peer: s.shared.Handle, Subscribe: s.subscribe, TableChange: s.changeFor,
		Order: s.orderFor, Adapter: s.adapterFor, Held: s.takeHolder,
	}
}

// apply carries a committed change out: the highest version of the table is in force, and the holders follow each other.
func (s *Steward) apply(_ uint64, command []byte) any {
	change := &wirepb.StewardChange{}
	if err := proto.Unmarshal(command, change); err != nil {
		s.log.Error(err, "committed change cannot be read")
		return err
	}
	s.install(change.GetTable())
	if holders := change.GetHolders(); holders != nil {
		s.assign(holders)
	}
	return nil
}

// install puts a table in force unless one with its version or a higher one is.
func (s *Steward) install(change *wirepb.TableChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change.GetVersion() <= s.version {
		return
	}
	table, err := s.decode(change.GetTable())
	if err != nil {
		// It was checked before it was proposed; the table before it stays in force here.
		s.log.Error(err, "committed table is invalid", "version", change.GetVersion())
		return
	}
	s.table, s.raw, s.version = table, change.GetTable(), change.GetVersion()
	s.log.Info("table in force", "version", s.version, "routes", len(table.Routes), "bytes", len(s.raw))
	s.wakeLocked()
}

func (s *Steward) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Steward) snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return proto.Marshal(&wirepb.StewardChange{
		Table: &wirepb.TableChange{Table: s.raw, Version: s.version}, Holders: s.holders.ToWire(),
	})
}

func (s *Steward) restore(_ uint64, state []byte) error {
	change := &wirepb.StewardChange{}
	if err := proto.Unmarshal(state, change); err != nil {
		return err
	}
	s.install(change.GetTable())
	s.assign(change.GetHolders())
	return nil
}

// Change commits a table and returns once it is in the log; it fails with ErrNotCommitted.
func (s *Steward) Change(ctx context.Context, raw []byte, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	change, began := &wirepb.TableChange{Table: raw, Version: version}, time.Now()
	for {
		err := s.try(ctx, change)
		if err == nil {
			s.countChange(began, nil)
			return nil
		}
		select {
		case <-ctx.Done():
			s.countChange(began, err)
			return ErrNotCommitted{Cause: err}
		case <-time.After(changePause):
		}
	}
}

// changePause lies between two tries of a change while no leader is known.
const changePause = 50 * time.Millisecond

func (s *Steward) try(ctx context.Context, change *wirepb.TableChange) error {
	if s.holds(change.GetVersion()) {
		return nil
	}
	address, self := s.shared.Leader()
	switch {
	case self:
		return s.commit(ctx, change)
	case address == "":
		return quorum.ErrNoQuorum{Reason: "no leader is known"}
	}
	frame := &wirepb.Frame{Body: &wirepb.Frame_TableChange{TableChange: change}}
	reply, err := s.pool.Call(ctx, address, frame, changeTimeout)
	if err != nil {
		return err
	}
	if r := reply.GetTableChangeReply(); !r.GetCommitted() {
		return errReply{r.GetError()}
	}
	return nil
}

// holds tells whether a committed table has a version or a higher one.
func (s *Steward) holds(version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version >= version
}

func (s *Steward) commit(ctx context.Context, change *wirepb.TableChange) error {
	return s.propose(ctx, &wirepb.StewardChange{Table: change})
}

func (s *Steward) propose(ctx context.Context, change *wirepb.StewardChange) error {
	data, err := proto.Marshal(change)
	if err != nil {
		return err
	}
	_, err = s.shared.Propose(ctx, data)
	return err
}

// changeFor commits a change that another steward passed on.
func (s *Steward) changeFor(ctx context.Context, change *wirepb.TableChange) *wirepb.Frame {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	reply := &wirepb.TableChangeReply{}
	if _, self := s.shared.Leader(); !self {
		reply.Error = "this steward does not lead"
	} else if err := s.commit(ctx, change); err != nil {
		reply.Error = err.Error()
	} else {
		reply.Committed = true
	}
	return &wirepb.Frame{Body: &wirepb.Frame_TableChangeReply{TableChangeReply: reply}}
}

// Read returns the newest committed table; it fails with quorum.ErrNoQuorum, quorum.ErrStopped or ErrNoTable.
func (s *Steward) Read(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if _, err := s.shared.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == 0 {
		return nil, ErrNoTable{}
	}
	return s.raw, nil
}

// Ready tells whether this steward knows a leader, for health checks.
func (s *Steward) Ready() int {
	if address, _ := s.shared.Leader(); address == "" {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

package node

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"burdocksaddle/agent"
	"burdocksaddle/buffering"
	"burdocksaddle/catalog"
	"burdocksaddle/control"
	"burdocksaddle/entry"
	"burdocksaddle/graceful"
	"burdocksaddle/intake"
	"burdocksaddle/quorum"
	"burdocksaddle/setting"
	"burdocksaddle/web"
	"burdocksaddle/wire"
)

const (
	readHeaderTimeout   = 5 * time.Second
	maxHeaderBytes      = 32 << 10
	idleTimeout         = 2 * time.Minute
	defaultDrainTimeout = 30 * time.Second
	processIDBytes      = 16
	// callerParts, internalParts and operatorParts are the divisors of the process's connections that give those of each listener.
	callerParts, internalParts, operatorParts = 2, 4, 16
)

// Node is a process that runs one or more roles.
type Node struct {
	settings       setting.Settings
	log            logr.Logger
	listen         func(ctx context.Context, address string) (net.Listener, error)
	dial           func(ctx context.Context, address string) (net.Conn, error)
	initialCatalog *catalog.Catalog
	abort          context.Context
	agentOptions   []agent.Option

	account       *intake.Account
	metrics       *metrics.Set
	member        *control.Member
	replicatedLog *quorum.Log
	agent         *agent.Agent
	entry         *entry.Entry
	servers       []httpServer
}

// Option configures a Node.
type Option func(*Node)

// WithLog sets the logger.
func WithLog(log logr.Logger) Option { return func(n *Node) { n.log = log } }

// WithListen replaces the function that opens listeners.
func WithListen(listen func(ctx context.Context, address string) (net.Listener, error)) Option {
	return func(n *Node) { n.listen = listen }
}

// WithDial replaces the function that connects to other processes.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(n *Node) { n.dial = dial }
}

// WithHTTP replaces the HTTP client that is used for the endpoint and the platform.
func WithHTTP(client *http.Client) Option {
	return func(n *Node) { n.agentOptions = append(n.agentOptions, agent.WithHTTP(client)) }
}

// WithFirstCatalog sets the catalog that is applied if the system has none yet.
func WithFirstCatalog(first catalog.Catalog) Option {
	return func(n *Node) { n.initialCatalog = &first }
}

// New returns a Node for validated settings.
func New(settings setting.Settings, options ...Option) *Node {
	n := &Node{settings: settings, log: logr.Discard(), abort: context.Background(), metrics: metrics.NewSet()}
	n.listen = func(ctx context.Context, address string) (net.Listener, error) {
		config := net.ListenConfig{Control: intake.LimitBuffers}
		return config.Listen(ctx, "tcp", address)
	}
	for _, option := range options {
		option(n)
	}
	n.log = n.log.WithValues("node", settings.Node)
	n.account = intake.New(buffering.NewLimits(settings.Limits.MemoryMB, descriptors(settings.Limits.FileDescriptors)), intake.WithMetrics(n.metrics))
	return n
}

// descriptors returns the number of file descriptors that the settings name, or else the operating system's limit.
func descriptors(named int) int {
	var limit syscall.Rlimit
	if named > 0 || syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return named
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// countClients makes room for clients until the context ends.
func (n *Node) countClients(ctx context.Context) <-chan error {
	ended, counted := make(chan error, 1), n.account.Run(ctx)
	go func() {
		<-counted
		ended <- nil
	}()
	return ended
}

// Run starts the roles and serves until the context ends, then shuts down gracefully. The channel receives the result once.
func (n *Node) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- n.run(ctx) }()
	return ended
}

func (n *Node) run(ctx context.Context) error {
	stopRequested := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var tasks []<-chan error
	secure, poolOptions, err := n.peerTransport(ctx, &tasks)
	if err != nil {
		return err
	}
	pool := wire.NewPool(poolOptions...)
	defer pool.Close()
	handlers, err := n.startRoles(ctx, pool, &tasks)
	if err != nil {
		return err
	}
	if n.settings.Listen != "" {
		listener, err := n.listen(ctx, n.settings.Listen)
		if err != nil {
			return err
		}
		counted := n.account.Wrap(secure(listener), n.account.Limits().Part(internalParts), intake.WithPeers())
		tasks = append(tasks, wire.Serve(ctx, counted, handlers))
	}
	tasks = append(tasks, n.countClients(ctx))
	if err := n.serveHTTP(ctx, &tasks); err != nil {
		return err
	}
	n.log.Info("node started", "roles", n.settings.Roles, "listen", n.settings.Listen)
	stopping := make(chan struct{})
	go func() {
		defer close(stopping)
		select {
		case <-stopRequested.Done():
			n.stop()
			n.shutDownServers()
			cancel()
		case <-ctx.Done():
		}
	}()
	err = awaitTasks(cancel, tasks)
	<-stopping
	return err
}

// awaitTasks waits until all tasks have ended and returns the first error. As soon as one task ends, it cancels the others.
func awaitTasks(cancel context.CancelFunc, tasks []<-chan error) error {
	ends := make(chan error, len(tasks))
	for _, task := range tasks {
		go func() { ends <- <-task }()
	}
	var firstErr error
	for range tasks {
		if err := <-ends; err != nil && firstErr == nil {
			firstErr = err
		}
		cancel()
	}
	return firstErr
}

func (n *Node) startRoles(ctx context.Context, pool *wire.Pool, tasks *[]<-chan error) (wire.Handlers, error) {
	var handlers wire.Handlers
	if n.settings.Has(setting.RoleControl) {
		replicatedLog, err := n.openControl(pool)
		if err != nil {
			return handlers, err
		}
		n.replicatedLog = replicatedLog
		handlers = n.member.Handlers()
		handlers.Peer = replicatedLog.Handle
		*tasks = append(*tasks, replicatedLog.Run(ctx), n.member.Run(ctx), n.seedCatalog(ctx))
	}
	if n.settings.Has(setting.RoleAgent) {
		n.agent = agent.New(n.settings, pool, rand.Text()[:processIDBytes], append(n.agentOptions, agent.WithLog(n.log))...)
		agentHandlers := n.agent.Handlers()
		handlers.Dispatch, handlers.Enquiry = agentHandlers.Dispatch, agentHandlers.Enquiry
		*tasks = append(*tasks, n.agent.Run(ctx))
	}
	if n.settings.Has(setting.RoleEntry) {
		n.entry = entry.New(n.settings, pool, entry.WithLog(n.log))
		*tasks = append(*tasks, n.entry.Run(ctx))
	}
	return handlers, nil
}

func (n *Node) serveHTTP(ctx context.Context, tasks *[]<-chan error) error {
	if n.settings.Operator.Listen != "" {
		mux := http.NewServeMux()
		tokens, err := readTokens(n.settings.Operator.TokenFiles)
		if err != nil {
			return err
		}
		guard := web.NewGuard(tokens)
		if n.member != nil {
			web.NewOperator(n.member, guard).Register(mux)
		}
		web.RegisterDebug(mux, guard, n.dump, n.writeMetrics)
		if err := n.serveOn(ctx, n.settings.Operator.Listen, operatorParts, mux, tasks); err != nil {
			return err
		}
	}
	if n.entry == nil {
		return nil
	}
	keys, err := readTokens(n.settings.Entry.CallerKeys)
	if err != nil {
		return err
	}
	caller := web.NewCaller(n.entry, n.settings.Entry, keys, n.log, rand.Text, web.WithMemory(n.account.Take, n.account.Return))
	return n.serveOn(ctx, n.settings.Entry.CallerListen, callerParts, caller.Handler(), tasks)
}

// serveOn serves HTTP on an address, with one of the given number of parts of the process's connections.
func (n *Node) serveOn(ctx context.Context, address string, parts int, handler http.Handler, tasks *[]<-chan error) error {
	listener, err := n.listen(ctx, address)
	if err != nil {
		return err
	}
	requestCtx, cancelRequests := context.WithCancelCause(context.WithoutCancel(ctx))
	config := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
		BaseContext: func(net.Listener) context.Context { return requestCtx },
	}
	n.account.Protect(config)
	server := httpServer{graceful.New(config), cancelRequests}
	n.servers = append(n.servers, server)
	*tasks = append(*tasks, n.serveUntil(ctx, server, n.account.Wrap(listener, n.account.Limits().Part(parts))))
	return nil
}

// httpServer is an HTTP server whose requests can be canceled.
type httpServer struct {
	*graceful.Server
	cancelRequests context.CancelCauseFunc
}

// serveUntil serves HTTP until the context ends. Its server may be shut down before that.
func (n *Node) serveUntil(ctx context.Context, server httpServer, listener net.Listener) <-chan error {
	served, ended := make(chan error, 1), make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	go func() {
		select {
		case err := <-served:
			if !errors.Is(err, http.ErrServerClosed) {
				ended <- err
				return
			}
			<-ctx.Done()
		case <-ctx.Done():
			n.shutDown(server)
		}
		ended <- nil
	}()
	return ended
}

// Dump is the state of all roles of the process, for debugging.
type Dump struct {
	Node    string
	Roles   []setting.Role
	Entry   *entry.Dump   `json:",omitempty"`
	Control *control.Dump `json:",omitempty"`
	Agent   *agent.Dump   `json:",omitempty"`
}

func (n *Node) writeMetrics(to io.Writer) {
	n.metrics.WritePrometheus(to)
	if n.entry != nil {
		n.entry.WriteMetrics(to)
	}
}

func (n *Node) dump() any {
	d := Dump{Node: n.settings.Node, Roles: n.settings.Roles}
	if n.entry != nil {
		e := n.entry.Dump()
		d.Entry = &e
	}
	if n.member != nil {
		c := n.member.Dump()
		d.Control = &c
	}
	if n.agent != nil {
		a := n.agent.Dump()
		d.Agent = &a
	}
	return d
}

func readTokens(files map[string]string) (map[string]string, error) {
	tokens := map[string]string{}
	for name, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		tokens[name] = strings.TrimSpace(string(data))
	}
	return tokens, nil
}

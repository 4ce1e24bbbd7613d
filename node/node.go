package node

import (
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"burdocksaddle/agent"
	"burdocksaddle/catalog"
	"burdocksaddle/control"
	"burdocksaddle/entry"
	"burdocksaddle/quorum"
	"burdocksaddle/setting"
	"burdocksaddle/web"
	"burdocksaddle/wire"
)

const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 32 << 10
	idleTimeout       = 2 * time.Minute
	defaultDrain      = 30 * time.Second
	processIDBytes    = 16
)

// Node is one process with its roles.
type Node struct {
	settings setting.Settings
	log      logr.Logger
	listen   func(ctx context.Context, address string) (net.Listener, error)
	dial     func(ctx context.Context, address string) (net.Conn, error)
	first    *catalog.Catalog
	abandon  context.Context
	agents   []agent.Option

	member *control.Member
	shared *quorum.Log
	agent  *agent.Agent
	entry  *entry.Entry
}

// Option sets one property of a Node.
type Option func(*Node)

// WithLog sets where events are logged.
func WithLog(log logr.Logger) Option { return func(n *Node) { n.log = log } }

// WithListen replaces how addresses are listened on.
func WithListen(listen func(ctx context.Context, address string) (net.Listener, error)) Option {
	return func(n *Node) { n.listen = listen }
}

// WithDial replaces how other processes are dialled.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(n *Node) { n.dial = dial }
}

// WithHTTP replaces the client that talks to the endpoint and the platform.
func WithHTTP(client *http.Client) Option {
	return func(n *Node) { n.agents = append(n.agents, agent.WithHTTP(client)) }
}

// WithFirstCatalog sets the catalog of a system that has none yet.
func WithFirstCatalog(first catalog.Catalog) Option { return func(n *Node) { n.first = &first } }

// New makes a Node from checked settings.
func New(settings setting.Settings, options ...Option) *Node {
	n := &Node{settings: settings, log: logr.Discard(), abandon: context.Background()}
	n.listen = func(ctx context.Context, address string) (net.Listener, error) {
		var config net.ListenConfig
		return config.Listen(ctx, "tcp", address)
	}
	for _, option := range options {
		option(n)
	}
	n.log = n.log.WithValues("node", settings.Node)
	return n
}

// Run starts the roles and serves until the context ends, then finishes what is under way; the channel gives the reason, once.
func (n *Node) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- n.run(ctx) }()
	return ended
}

func (n *Node) run(ctx context.Context) error {
	signalled := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var duties []<-chan error
	secure, dial, err := n.peers(ctx, &duties)
	if err != nil {
		return err
	}
	pool := wire.NewPool(dial...)
	defer pool.Close()
	handlers, err := n.roles(ctx, pool, &duties)
	if err != nil {
		return err
	}
	if n.settings.Listen != "" {
		listener, err := n.listen(ctx, n.settings.Listen)
		if err != nil {
			return err
		}
		duties = append(duties, wire.Serve(ctx, secure(listener), handlers))
	}
	if err := n.serveHTTP(ctx, &duties); err != nil {
		return err
	}
	n.log.Info("node started", "roles", n.settings.Roles, "listen", n.settings.Listen)
	stopping := make(chan struct{})
	go func() {
		defer close(stopping)
		select {
		case <-signalled.Done():
			n.stop()
			cancel()
		case <-ctx.Done():
		}
	}()
	err = await(cancel, duties)
	<-stopping
	return err
}

// await returns the first failure once every duty has ended.
func await(cancel context.CancelFunc, duties []<-chan error) error {
	ends := make(chan error, len(duties))
	for _, duty := range duties {
		go func() { ends <- <-duty }()
	}
	var first error
	for range duties {
		if err := <-ends; err != nil && first == nil {
			first = err
		}
		cancel()
	}
	return first
}

func (n *Node) roles(ctx context.Context, pool *wire.Pool, duties *[]<-chan error) (wire.Handlers, error) {
	var handlers wire.Handlers
	if n.settings.Has(setting.RoleControl) {
		shared, err := n.openControl(pool)
		if err != nil {
			return handlers, err
		}
		n.shared = shared
		handlers = n.member.Handlers()
		handlers.Peer = shared.Handle
		*duties = append(*duties, shared.Run(ctx), n.member.Run(ctx), n.seed(ctx))
	}
	if n.settings.Has(setting.RoleAgent) {
		n.agent = agent.New(n.settings, pool, rand.Text()[:processIDBytes], append(n.agents, agent.WithLog(n.log))...)
		own := n.agent.Handlers()
		handlers.Dispatch, handlers.Enquiry = own.Dispatch, own.Enquiry
		*duties = append(*duties, n.agent.Run(ctx))
	}
	if n.settings.Has(setting.RoleEntry) {
		n.entry = entry.New(n.settings, pool, entry.WithLog(n.log))
		*duties = append(*duties, n.entry.Run(ctx))
	}
	return handlers, nil
}

func (n *Node) serveHTTP(ctx context.Context, duties *[]<-chan error) error {
	if n.settings.Operator.Listen != "" {
		mux := http.NewServeMux()
		tokens, err := tokens(n.settings.Operator.TokenFiles)
		if err != nil {
			return err
		}
		guard := web.NewGuard(tokens)
		if n.member != nil {
			web.NewOperator(n.member, guard).Register(mux)
		}
		web.RegisterDebug(mux, guard, n.dump, n.writeMetrics)
		if err := n.serveOn(ctx, n.settings.Operator.Listen, mux, duties); err != nil {
			return err
		}
	}
	if n.entry == nil {
		return nil
	}
	keys, err := tokens(n.settings.Entry.CallerKeys)
	if err != nil {
		return err
	}
	caller := web.NewCaller(n.entry, n.settings.Entry, keys, n.log, rand.Text)
	return n.serveOn(ctx, n.settings.Entry.CallerListen, caller.Handler(), duties)
}

func (n *Node) serveOn(ctx context.Context, address string, handler http.Handler, duties *[]<-chan error) error {
	listener, err := n.listen(ctx, address)
	if err != nil {
		return err
	}
	*duties = append(*duties, n.serveUntil(ctx, listener, handler))
	return nil
}

// serveUntil serves HTTP until the context ends; by then the entry has answered its requests.
func (n *Node) serveUntil(ctx context.Context, listener net.Listener, handler http.Handler) <-chan error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout}
	served, ended := make(chan error, 1), make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	go func() {
		select {
		case err := <-served:
			ended <- err
		case <-ctx.Done():
			stop, cancel := context.WithTimeout(n.abandon, closeTime)
			defer cancel()
			if server.Shutdown(stop) != nil {
				_ = server.Close()
			}
			ended <- nil
		}
	}()
	return ended
}

// Dump is the state of every role in the process.
type Dump struct {
	Node    string
	Roles   []setting.Role
	Entry   *entry.Dump   `json:",omitempty"`
	Control *control.Dump `json:",omitempty"`
	Agent   *agent.Dump   `json:",omitempty"`
}

func (n *Node) writeMetrics(to io.Writer) {
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

func tokens(files map[string]string) (map[string]string, error) {
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

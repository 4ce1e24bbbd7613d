package demo

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"burdocksaddle/engineapi"
	"burdocksaddle/node"
	"burdocksaddle/setting"
	"burdocksaddle/standin"
)

const (
	engines      = 3
	services     = 2
	entries      = 2
	controls     = 3
	engineMB     = 80_000
	engineSlots  = 16
	serviceSlots = 16
	// A demo's load takes about two seconds.
	storeMBPerSecond = 10_000
	readyPoll        = 20 * time.Millisecond
	readHeaders      = 5 * time.Second
)

// Demo is a running system with its stand-ins.
type Demo struct {
	// Callers are the base URLs of the entries' caller APIs.
	Callers []string
	// Operator is the base URL of the operators' API on the first control member, Operators those on all.
	Operator  string
	Operators []string
	Engines   []*standin.Engine
	Services  []*standin.Service
	Platform  *standin.Platform

	log       logr.Logger
	preferred []string
	dialOf    func(node string) func(ctx context.Context, address string) (net.Conn, error)
	mu        sync.Mutex
	listeners map[string]net.Listener
	ends      []<-chan error
	controls  []string
}

// Option sets one property of a Demo.
type Option func(*Demo)

// WithAddresses asks for the operators' and the first entry's address; taken ones are replaced by free ones.
func WithAddresses(operator, caller string) Option {
	return func(d *Demo) { d.preferred = []string{operator, caller} }
}

// WithDial replaces how each node dials the others.
func WithDial(dialOf func(node string) func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(d *Demo) { d.dialOf = dialOf }
}

// Start brings everything up and returns once callers are served.
func Start(ctx context.Context, log logr.Logger, options ...Option) (*Demo, error) {
	d := &Demo{log: log, listeners: map[string]net.Listener{}}
	for _, option := range options {
		option(d)
	}
	if err := d.startControl(ctx); err != nil {
		return nil, err
	}
	platform, err := d.startEndpoints(ctx)
	if err != nil {
		return nil, err
	}
	for i := range entries {
		if err := d.startEntry(ctx, i); err != nil {
			return nil, err
		}
	}
	d.log.Info("stand-ins started", "platform", platform)
	return d, d.awaitReady(ctx)
}

// Ends returns a channel that gives each end of a node or stand-in and closes after the last; it is asked for once.
func (d *Demo) Ends() <-chan error {
	ends := make(chan error, len(d.ends))
	var group sync.WaitGroup
	for _, end := range d.ends {
		group.Go(func() { ends <- <-end })
	}
	go func() {
		group.Wait()
		close(ends)
	}()
	return ends
}

// Wait returns once everything has ended; it takes the place of Ends.
func (d *Demo) Wait() {
	for err := range d.Ends() {
		if err != nil {
			d.log.V(1).Info("ended", "error", err.Error())
		}
	}
}

// startControl starts the control members, which must know each other's addresses beforehand.
func (d *Demo) startControl(ctx context.Context) error {
	listens, err := d.reserve(ctx, controls)
	if err != nil {
		return err
	}
	operators, err := d.reserve(ctx, controls)
	if err != nil {
		return err
	}
	operators[0] = d.prefer(ctx, 0, operators[0])
	d.controls = listens
	var bootstrap []string
	for i, listen := range listens {
		bootstrap = append(bootstrap, controlName(i)+"="+listen)
	}
	for i, listen := range listens {
		s := setting.Defaults()
		s.Node, s.DataCentre, s.Roles = controlName(i), "first", []setting.Role{setting.RoleControl}
		s.Listen, s.Operator.Listen, s.Controls, s.Control.Bootstrap = listen, operators[i], listens, bootstrap
		d.Operators = append(d.Operators, "http://"+operators[i])
		d.ends = append(d.ends, d.node(s).Run(ctx))
	}
	d.Operator = d.Operators[0]
	return nil
}

func controlName(i int) string { return "control-" + strconv.Itoa(i+1) }

func (d *Demo) startEndpoints(ctx context.Context) (string, error) {
	d.Platform = standin.NewPlatform(ctx)
	platform, err := d.serve(ctx, d.Platform)
	if err != nil {
		return "", err
	}
	store, err := d.serve(ctx, standin.NewStore(ctx, standin.LoadSpeed(storeMBPerSecond)))
	if err != nil {
		return "", err
	}
	for i := range engines {
		engine := standin.NewEngine(ctx, standin.Memory(engineMB), standin.Slots(engineSlots), standin.WeightStore(store, http.DefaultClient), standin.CheckFencing(i > 0))
		d.Engines = append(d.Engines, engine)
		if err := d.startAgent(ctx, "engine-"+strconv.Itoa(i+1), modelService, setting.KindModel, platform, engine); err != nil {
			return "", err
		}
	}
	for i := range services {
		service := standin.NewService(ctx)
		d.Services = append(d.Services, service)
		if err := d.startAgent(ctx, "desk-"+strconv.Itoa(i+1), plainService, setting.KindPlain, platform, service); err != nil {
			return "", err
		}
	}
	return platform, nil
}

func (d *Demo) startAgent(ctx context.Context, name, service string, kind setting.Kind, platform string, handler http.Handler) error {
	url, err := d.serve(ctx, handler)
	if err != nil {
		return err
	}
	d.Platform.SetVM(name, false)
	addresses, err := d.reserve(ctx, 1)
	if err != nil {
		return err
	}
	s := setting.Defaults()
	s.Node, s.DataCentre, s.Roles, s.Listen, s.Controls = name, "first", []setting.Role{setting.RoleAgent}, addresses[0], d.controls
	s.Advertise = s.Listen
	s.Agent.Endpoint, s.Agent.Service, s.Agent.EndpointURL, s.Agent.Kind = name, service, url, string(kind)
	s.Agent.MemoryMB, s.Agent.Slots, s.Agent.PlatformURL = engineMB, engineSlots, platform+engineapi.PathVMs
	d.ends = append(d.ends, d.node(s).Run(ctx))
	return nil
}

func (d *Demo) startEntry(ctx context.Context, i int) error {
	addresses, err := d.reserve(ctx, 2)
	if err != nil {
		return err
	}
	s := setting.Defaults()
	s.Node, s.DataCentre, s.Roles, s.Controls = "entry-"+strconv.Itoa(i+1), "first", []setting.Role{setting.RoleEntry}, d.controls
	s.Entry.CallerListen, s.Operator.Listen = addresses[0], addresses[1]
	// No balancer stands before the demo.
	s.Entry.BalancerMS = 0
	if i == 0 {
		s.Entry.CallerListen = d.prefer(ctx, 1, addresses[0])
	}
	d.Callers = append(d.Callers, "http://"+s.Entry.CallerListen)
	d.ends = append(d.ends, d.node(s).Run(ctx))
	return nil
}

func (d *Demo) node(s setting.Settings) *node.Node {
	first := Catalog()
	options := []node.Option{node.WithLog(d.log), node.WithListen(d.listen), node.WithFirstCatalog(first)}
	if d.dialOf != nil {
		options = append(options, node.WithDial(d.dialOf(s.Node)))
	}
	return node.New(s, options...)
}

// reserve listens on free ports ahead, so that settings can name them.
func (d *Demo) reserve(ctx context.Context, count int) ([]string, error) {
	var addresses []string
	for range count {
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		address := listener.Addr().String()
		d.mu.Lock()
		d.listeners[address] = listener
		d.mu.Unlock()
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// prefer returns the address that was asked for, or the free one where it is taken.
func (d *Demo) prefer(ctx context.Context, i int, free string) string {
	if i >= len(d.preferred) {
		return free
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", d.preferred[i])
	if err != nil {
		return free
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.listeners[free].Close()
	delete(d.listeners, free)
	d.listeners[d.preferred[i]] = listener
	return d.preferred[i]
}

func (d *Demo) listen(_ context.Context, address string) (net.Listener, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listeners[address], nil
}

// serve runs a stand-in on a free port and returns its base URL.
func (d *Demo) serve(ctx context.Context, handler http.Handler) (string, error) {
	addresses, err := d.reserve(ctx, 1)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaders}
	if faulty, ok := handler.(interface {
		ConnContext(context.Context, net.Conn) context.Context
	}); ok {
		server.ConnContext = faulty.ConnContext
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	listener, _ := d.listen(ctx, addresses[0])
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	d.ends = append(d.ends, served)
	return "http://" + addresses[0], nil
}

// awaitReady asks the entries' health until all take work.
func (d *Demo) awaitReady(ctx context.Context) error {
	for _, caller := range d.Callers {
		for !healthy(ctx, caller) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

func healthy(ctx context.Context, base string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+engineapi.PathHealth, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

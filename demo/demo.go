package demo

import (
	"context"
	"errors"
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
	engineCount  = 3
	serviceCount = 2
	entryCount   = 2
	controlCount = 3
	engineMB     = 80_000
	engineSlots  = 16
	serviceSlots = 16
	// At this speed a model of the demo loads in about two seconds.
	storeMBPerSecond  = 10_000
	readyPollInterval = 20 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
)

// Demo is a running system with stand-ins for the external systems.
type Demo struct {
	// Callers holds the base URLs of the entries' caller APIs.
	Callers []string
	// Operator is the base URL of the first control member's operator API, Operators those of all members.
	Operator  string
	Operators []string
	Engines   []*standin.Engine
	Services  []*standin.Service
	Platform  *standin.Platform

	log              logr.Logger
	preferred        []string
	dialFor          func(node string) func(ctx context.Context, address string) (net.Conn, error)
	mu               sync.Mutex
	listeners        map[string]net.Listener
	results          []<-chan error
	controlAddresses []string
}

// Option configures a Demo.
type Option func(*Demo)

// WithAddresses sets the preferred addresses of the operator API and of the first entry. A free port is used instead of an
// address that is in use.
func WithAddresses(operator, caller string) Option {
	return func(d *Demo) { d.preferred = []string{operator, caller} }
}

// WithDial replaces the function by which each node connects to the others.
func WithDial(dialFor func(node string) func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(d *Demo) { d.dialFor = dialFor }
}

// Start starts the whole system and returns once all entries are healthy.
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
	for i := range entryCount {
		if err := d.startEntry(ctx, i); err != nil {
			return nil, err
		}
	}
	d.log.Info("stand-ins started", "platform", platform)
	return d, d.awaitReady(ctx)
}

// Ends returns a channel that receives the result of each node and stand-in as it ends and is closed after the last one.
// Ends must be called only once.
func (d *Demo) Ends() <-chan error {
	ends := make(chan error, len(d.results))
	var group sync.WaitGroup
	for _, end := range d.results {
		group.Go(func() { ends <- <-end })
	}
	go func() {
		group.Wait()
		close(ends)
	}()
	return ends
}

// Wait returns once all nodes and stand-ins have ended. It must not be combined with Ends.
func (d *Demo) Wait() {
	for err := range d.Ends() {
		if err != nil {
			d.log.V(1).Info("demo process failed", "error", err.Error())
		}
	}
}

// startControl starts the control members. Their addresses are reserved first, since each member needs those of the others.
func (d *Demo) startControl(ctx context.Context) error {
	listenAddresses, err := d.reserve(ctx, controlCount)
	if err != nil {
		return err
	}
	operatorAddresses, err := d.reserve(ctx, controlCount)
	if err != nil {
		return err
	}
	operatorAddresses[0] = d.listenOnPreferred(ctx, 0, operatorAddresses[0])
	d.controlAddresses = listenAddresses
	var bootstrap []string
	for i, listen := range listenAddresses {
		bootstrap = append(bootstrap, controlName(i)+"="+listen)
	}
	for i, listen := range listenAddresses {
		s := setting.Defaults()
		s.Node, s.DataCentre, s.Roles = controlName(i), "first", []setting.Role{setting.RoleControl}
		s.Listen, s.Operator.Listen, s.Controls, s.Control.Bootstrap = listen, operatorAddresses[i], listenAddresses, bootstrap
		d.Operators = append(d.Operators, "http://"+operatorAddresses[i])
		d.results = append(d.results, d.node(s).Run(ctx))
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
	for i := range engineCount {
		engine := standin.NewEngine(ctx, standin.Memory(engineMB), standin.Slots(engineSlots), standin.WeightStore(store, http.DefaultClient), standin.CheckFencing(i > 0))
		d.Engines = append(d.Engines, engine)
		if err := d.startAgent(ctx, "engine-"+strconv.Itoa(i+1), modelService, setting.KindModel, platform, engine); err != nil {
			return "", err
		}
	}
	for i := range serviceCount {
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
	s.Node, s.DataCentre, s.Roles, s.Listen, s.Controls = name, "first", []setting.Role{setting.RoleAgent}, addresses[0], d.controlAddresses
	s.Advertise = s.Listen
	s.Agent.Endpoint, s.Agent.Service, s.Agent.EndpointURL, s.Agent.Kind = name, service, url, string(kind)
	s.Agent.MemoryMB, s.Agent.Slots, s.Agent.PlatformURL = engineMB, engineSlots, platform+engineapi.PathVMs
	d.results = append(d.results, d.node(s).Run(ctx))
	return nil
}

func (d *Demo) startEntry(ctx context.Context, i int) error {
	addresses, err := d.reserve(ctx, 2)
	if err != nil {
		return err
	}
	s := setting.Defaults()
	s.Node, s.DataCentre, s.Roles, s.Controls = "entry-"+strconv.Itoa(i+1), "first", []setting.Role{setting.RoleEntry}, d.controlAddresses
	s.Entry.CallerListen, s.Operator.Listen = addresses[0], addresses[1]
	// The demo has no load balancer to wait for.
	s.Entry.BalancerMS = 0
	if i == 0 {
		s.Entry.CallerListen = d.listenOnPreferred(ctx, 1, addresses[0])
	}
	d.Callers = append(d.Callers, "http://"+s.Entry.CallerListen)
	d.results = append(d.results, d.node(s).Run(ctx))
	return nil
}

func (d *Demo) node(s setting.Settings) *node.Node {
	first := Catalog()
	options := []node.Option{node.WithLog(d.log), node.WithListen(d.listen), node.WithFirstCatalog(first)}
	if d.dialFor != nil {
		options = append(options, node.WithDial(d.dialFor(s.Node)))
	}
	return node.New(s, options...)
}

// reserve opens listeners on free ports, so that their addresses can be used in the settings.
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

// listenOnPreferred returns the i-th preferred address, or the free one if the preferred address is unset or in use.
func (d *Demo) listenOnPreferred(ctx context.Context, i int, free string) string {
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

// serve serves a stand-in's handler on a free port and returns its base URL.
func (d *Demo) serve(ctx context.Context, handler http.Handler) (string, error) {
	addresses, err := d.reserve(ctx, 1)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	if withConnContext, ok := handler.(interface {
		ConnContext(context.Context, net.Conn) context.Context
	}); ok {
		server.ConnContext = withConnContext.ConnContext
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	listener, _ := d.listen(ctx, addresses[0])
	served := make(chan error, 1)
	go func() {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil // the context has ended
		}
		served <- err
	}()
	d.results = append(d.results, served)
	return "http://" + addresses[0], nil
}

// awaitReady polls the health checks of the entries until all of them are healthy.
func (d *Demo) awaitReady(ctx context.Context) error {
	for _, caller := range d.Callers {
		for !isHealthy(ctx, caller) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

func isHealthy(ctx context.Context, base string) bool {
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

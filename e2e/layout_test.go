package e2e

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"burdocksaddle/demo"
	"burdocksaddle/engineapi"
	"burdocksaddle/platform/standin"
	"burdocksaddle/setting"
	"burdocksaddle/traffic"
)

const (
	engineCount, plainServiceCount, entryCount = 3, 2, 2
	engineMB                                   = 80_000
	wirePort                                   = "7300"
	callerPort                                 = "8080"
	operatorPort                               = "7400"
	standinPort                                = "9000"
	// balancerDelay is how long the load balancer keeps sending requests to an entry that is shutting down.
	balancerDelay = time.Second
)

// layout describes the addresses and settings of a cluster's nodes and stand-ins.
type layout struct {
	dir      string
	controls int
	learners int
	// limits are the limits of each node's process.
	limits setting.Limits
	// host returns the host address of the VM on which the named node or stand-in runs.
	host func(name string) string
}

func controlName(i int) string      { return fmt.Sprintf("control-%d", i+1) }
func engineAgentName(i int) string  { return fmt.Sprintf("agent-engine-%d", i+1) }
func plainAgentName(i int) string   { return fmt.Sprintf("agent-desk-%d", i+1) }
func entryName(i int) string        { return fmt.Sprintf("entry-%d", i+1) }
func engineName(i int) string       { return fmt.Sprintf("engine-%d", i+1) }
func plainServiceName(i int) string { return fmt.Sprintf("desk-%d", i+1) }

// loopbackHosts returns a function that assigns each name its own address in a loopback subnet.
func loopbackHosts(t *testing.T) func(string) string {
	t.Helper()
	subnet, err := standin.ReserveSubnet(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(subnet.Close)
	assigned := map[string]int{}
	return func(name string) string {
		if _, found := assigned[name]; !found {
			assigned[name] = len(assigned)
		}
		return subnet.IP(0, assigned[name])
	}
}

func (l layout) engineAddress(i int) string { return l.host(engineName(i)) + ":" + standinPort }
func (l layout) plainServiceAddress(i int) string {
	return l.host(plainServiceName(i)) + ":" + standinPort
}

// callerURL returns the base URL of an entry's caller API.
func (l layout) callerURL(i int) string { return "http://" + l.host(entryName(i)) + ":" + callerPort }

// operatorURLOf returns the base URL of a node's operator API.
func (l layout) operatorURLOf(name string) string {
	return "http://" + l.host(name) + ":" + operatorPort
}

// withLimits sets the limits of each node's process.
func withLimits(limits setting.Limits) func(*layout) { return func(l *layout) { l.limits = limits } }

func writeJSON(file string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o600)
}

// settings returns the settings of the named node.
func (l layout) settings(name string) setting.Settings {
	v := setting.Defaults()
	v.Node, v.DataCentre, v.Log.Verbosity = name, "first", 1
	v.Entry.DrainMS, v.Entry.BalancerMS = 8_000, balancerDelay.Milliseconds()
	if l.limits != (setting.Limits{}) {
		v.Limits = l.limits
	}
	v.Operator.Listen = l.host(name) + ":" + operatorPort
	for i := range l.controls + l.learners {
		v.Controls = append(v.Controls, l.host(controlName(i))+":"+wirePort)
	}
	var i int
	if _, err := fmt.Sscanf(name, "control-%d", &i); err == nil {
		l.controlSettings(&v, i-1)
		return v
	}
	switch {
	case strings.HasPrefix(name, "entry-"):
		v.Roles, v.Entry.CallerListen = []setting.Role{setting.RoleEntry}, l.host(name)+":"+callerPort
	case strings.HasPrefix(name, "agent-engine-"):
		l.agentSettings(&v, "shop-assist", setting.KindModel)
		v.Agent.MemoryMB = engineMB
	default:
		l.agentSettings(&v, "dispatch-desk", setting.KindPlain)
	}
	return v
}

func (l layout) controlSettings(v *setting.Settings, i int) {
	v.Roles, v.Listen = []setting.Role{setting.RoleControl}, l.host(v.Node)+":"+wirePort
	v.Control.StandingLearner = i >= l.controls
	v.Control.ReplaceAfterMS = controlReplaceAfter.Milliseconds()
	v.Control.SnapshotEntries = 500
	v.Control.DataFolder = filepath.Join(l.dir, "data-"+v.Node)
	for j := range l.controls {
		v.Control.Bootstrap = append(v.Control.Bootstrap, controlName(j)+"="+l.host(controlName(j))+":"+wirePort)
	}
	v.Control.CatalogFile = filepath.Join(l.dir, "catalog.json")
}

func (l layout) agentSettings(v *setting.Settings, service string, kind setting.Kind) {
	v.Roles, v.Listen = []setting.Role{setting.RoleAgent}, l.host(v.Node)+":"+wirePort
	v.Advertise = v.Listen
	v.Agent.Endpoint, v.Agent.Service, v.Agent.Kind = v.Node, service, string(kind)
	v.Agent.EndpointURL = "http://" + l.host(strings.TrimPrefix(v.Node, "agent-")) + ":" + standinPort
	v.Agent.PlatformURL = "http://" + l.host("platform") + ":" + standinPort + engineapi.PathVMs
}

// writeCatalog writes the initial catalog file that the control members load.
func (l layout) writeCatalog() error {
	return writeJSON(filepath.Join(l.dir, "catalog.json"), demo.Catalog())
}

// newTarget returns a load target that requests all models of the demo catalog and its plain service.
func newTarget(entryURLs []string, interval time.Duration, transport func() *http.Transport) traffic.Target {
	t := traffic.Target{EntryURLs: entryURLs, Service: "dispatch-desk", Interval: interval, Transport: transport}
	for _, model := range demo.Catalog().Models {
		t.Models = append(t.Models, model.Name)
	}
	return t
}

// maxReported limits how many violations of one guarantee are printed.
const maxReported = 5

// reportViolations fails the test for every violated guarantee.
func reportViolations(t *testing.T, results traffic.Checker) {
	t.Helper()
	violations := results.Violations()
	for _, guarantee := range slices.Sorted(maps.Keys(violations)) {
		shown := violations[guarantee][:min(maxReported, len(violations[guarantee]))]
		t.Errorf("%s: %d\n  %s", guarantee, len(violations[guarantee]), strings.Join(shown, "\n  "))
	}
}

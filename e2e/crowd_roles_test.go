package e2e

import (
	"context"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"burdocksaddle/setting"
)

// roleLimits are the limits of the processes that crowds come to.
var roleLimits = setting.Limits{MemoryMB: 128, FileDescriptors: 700}

// roleDoor is an address of a process with the product's own roles.
type roleDoor struct {
	name, node, port, path string
	crowds                 []crowd
}

var roleCrowds = []crowd{
	{"heads without end", few, headWithoutEnd}, {"idle connections", many, stayIdle}, {"small bodies short of their end", many, sendAlmostAll(48 << 10)},
	atOnce(crowdsAtHTTP),
}

var roleDoors = []roleDoor{
	{"callers", entryName(0), callerPort, "/services/dispatch-desk/bookings", roleCrowds},
	{"operators of an entry", entryName(0), operatorPort, metricsPath, roleCrowds},
	{"operators of control", controlName(0), operatorPort, metricsPath, roleCrowds},
	{"internal calls of control", controlName(0), wirePort, "/", []crowd{atOnce(crowdsAtSessions)}},
	{"internal calls of an agent", plainAgentName(0), wirePort, "/", []crowd{atOnce(crowdsAtSessions)}},
}

// TestCrowdsAtRoles is TestCrowds for the processes with the roles entry, agent and control.
func TestCrowdsAtRoles(t *testing.T) {
	if os.Getenv(crowdsEnv) == "" {
		t.Skipf("runs with %s=1, as make crowds sets it", crowdsEnv)
	}
	for _, d := range roleDoors {
		t.Run(strings.ReplaceAll(d.name, " ", "_"), func(t *testing.T) {
			for _, kind := range d.crowds {
				t.Run(strings.ReplaceAll(kind.name, " ", "_"), func(t *testing.T) { d.meet(t, kind) })
			}
		})
	}
}

func (d roleDoor) meet(t *testing.T, kind crowd) {
	c := newProcessCluster(t, 1, 0, withLimits(roleLimits))
	p, host := c.processes[d.node], c.host(d.node)
	most := p.watchFootprint(t.Context(), []string{host + ":" + callerPort, host + ":" + operatorPort, host + ":" + wirePort})
	ctx, cancel := context.WithCancel(t.Context())
	gone := runCrowd(ctx, kind.clients, host+":"+d.port, crowdHost, d.path, kind.act)
	sleepContext(ctx, crowdTime)
	c.expectRoleAnswers("while the crowd is there", d.node)
	cancel()
	<-gone
	c.expectRoleAnswers("after the crowd", d.node)
	used := most()
	select {
	case err := <-p.exited:
		t.Fatalf("%s ended: %v", d.node, err)
	default:
	}
	checkFootprint(t, d.node, used, roleLimits.MemoryMB, roleLimits.FileDescriptors)
}

// expectRoleAnswers requires an answer of each address of a process to an ordinary request, and of the entry to a call of a service.
func (c *processCluster) expectRoleAnswers(when, node string) {
	c.t.Helper()
	for what, ask := range map[string]func() bool{
		"a call of a service": func() bool {
			return fetch(c.t.Context(), c.callerURL(0)+"/services/dispatch-desk/bookings") == http.StatusOK
		},
		"a read of the metrics": func() bool { return fetch(c.t.Context(), c.operatorURLOf(node)+metricsPath) == http.StatusOK },
	} {
		for end := time.Now().Add(answerPatience); !ask(); sleepContext(c.t.Context(), pollInterval) {
			if time.Now().After(end) {
				c.t.Errorf("%s: %s is not answered", when, what)
				break
			}
		}
	}
}

// checkFootprint checks that a process stayed within the memory and the descriptors of its machine.
func checkFootprint(t *testing.T, name string, used footprint, memoryMB, descriptors int) {
	t.Helper()
	if limit := memoryMB << 20; used.memory+used.queued > limit || used.peak > limit {
		t.Errorf("%s: more memory than its machine's %d MB: %v", name, memoryMB, used)
	}
	if most := descriptors - reservedDescriptors; used.sockets > most {
		t.Errorf("%s: more than %d sockets: %v", name, most, used)
	}
	t.Logf("%s: %v", name, used)
}

package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdocksaddle/operatorapi"
)

// controlReplaceAfter is the silence after which a control member is replaced.
const controlReplaceAfter = 5 * time.Second

// TestControlDepartures guards against planned stops of control members that end the group, though standby learners have caught up.
func TestControlDepartures(t *testing.T) {
	tests := map[string]func(c *memCluster, names []string){
		"two in series": func(c *memCluster, names []string) {
			c.stopControls(names[0])
			time.Sleep(time.Second)
			c.stopControls(names[1])
		},
		"three at once": func(c *memCluster, names []string) { c.stopControls(names...) },
		"one, then a loss": func(c *memCluster, names []string) {
			c.stopControls(names[0])
			c.killNode(names[1])
		},
		"restarts in turn": func(c *memCluster, names []string) {
			for _, name := range names {
				c.stopControls(name)
				c.startNode(name)
				c.mustChange("during " + name)
			}
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) { runControls(t, 3, run) })
	}
}

// TestControlReplacements guards against a group of control members that ends as disks are lost around the replacement of a voter.
func TestControlReplacements(t *testing.T) {
	const moments = 8
	for i := range moments {
		t.Run(fmt.Sprint("a disk twice around a stop, ", i), func(t *testing.T) {
			runControls(t, 0, func(c *memCluster, names []string) {
				c.stopControls(names[1])
				c.removeDisk(names[1])
				c.startNode(names[1])
				time.Sleep(time.Duration(i) * 150 * time.Millisecond)
				c.wipeControl(names[1])
			})
		})
		t.Run(fmt.Sprint("one is cut off, another's disk, ", i), func(t *testing.T) {
			runControls(t, 1, func(c *memCluster, names []string) {
				c.isolate(names[1], true)
				time.Sleep(controlReplaceAfter - 300*time.Millisecond + time.Duration(i)*100*time.Millisecond)
				c.wipeControl(names[2])
				c.isolate(names[1], false)
			})
		})
	}
}

// wipeControl crashes a control member and starts it with an empty disk.
func (c *memCluster) wipeControl(name string) {
	c.killNode(name)
	c.removeDisk(name)
	time.Sleep(restartDelay)
	c.startNode(name)
}

// runControls runs a group of three control members, and learners that have caught up.
func runControls(t *testing.T, learners int, run func(c *memCluster, names []string)) {
	dir := t.TempDir()
	dropPooledTimers()
	defer dropPooledTimers()
	// Timers of a bubble that fire on several processors at once share a context of the race detector, which crashes it (Go 1.26).
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newIdleMemCluster(ctx, t, dir, io.Discard)
		c.learners = learners
		if err := c.writeCatalog(); err != nil {
			t.Fatal(err)
		}
		for i := range c.controls + c.learners {
			c.startNode(controlName(i))
		}
		c.mustChange("before")
		time.Sleep(settleTime)
		run(c, []string{controlName(0), controlName(1), controlName(2)})
		c.mustChange("after")
		c.close()
		cancel()
		time.Sleep(time.Minute) // the network's goroutines end
	})
}

// dropPooledTimers drops the timers that yamux pools, which must not be used in another synctest bubble or outside of theirs.
func dropPooledTimers() {
	runtime.GC()
	runtime.GC()
}

// stopControls shuts control members down at once.
func (c *memCluster) stopControls(names ...string) {
	var stopped sync.WaitGroup
	for _, name := range names {
		n := c.nodes[name]
		delete(c.nodes, name)
		stopped.Go(func() {
			began := time.Now()
			n.cancel()
			if err := <-n.exited; err != nil {
				c.t.Errorf("%s exited with %v", name, err)
			}
			c.network.Crash(name)
			if took := time.Since(began); took > stopTimeout {
				c.t.Errorf("%s took %v to stop", name, took)
			}
		})
	}
	stopped.Wait()
}

// mustChange has any control member accept a change of the catalog.
func (c *memCluster) mustChange(operation string) {
	c.t.Helper()
	attempt := 0
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		for name := range c.nodes {
			base := c.catalogVersionOf(name)
			if base == 0 {
				continue
			}
			attempt++ // an earlier attempt may have changed the version
			header := http.Header{"Operation-Id": {operation + strconv.Itoa(attempt)}, "If-Match": {strconv.Quote(strconv.FormatUint(base, 10))}}
			var answer struct{ Version uint64 }
			status, err := c.requestJSON(http.MethodPost, c.operatorURLOf(name)+operatorapi.PathChanges, header, presetChange(c.changeCount+attempt), &answer, 3*time.Second)
			if err == nil && status == http.StatusOK {
				c.changeCount += attempt
				return
			}
		}
	}
	c.t.Errorf("change %q was not accepted within %v", operation, readyTimeout)
}

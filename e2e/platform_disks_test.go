package e2e

import (
	"bufio"
	"context"
	"errors"
	"io/fs"
	"math"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minFullTime is the minimum time for which a disk is full; a configuration is sent in it.
	minFullTime = 1600 * time.Millisecond
	// maxRoom is the maximum number of bytes that the newest segment takes before the disk is full; the record that exceeds it is torn.
	maxRoom = 200
	// startDelay is the time between the end of a process that could not start and its next start.
	startDelay = 200 * time.Millisecond
)

// fullDiskKinds are the kinds of faults with full disks, besides those that fill up one after the other.
var fullDiskKinds = []string{"full disk of the leader", "restart on a full disk", "full disk, then all stewards killed", "full disks"}

// randomDisks draws disks that fill up: that of each steward, one after the other, and a fault of another kind.
func randomDisks(r *rand.Rand, shape clusterShape) []fault {
	var faults []fault
	order := r.Perm(shape.stewards)
	interval := injectionWindow / time.Duration(shape.stewards)
	for i, n := range order {
		faults = append(faults, fault{
			at: time.Duration(i) * interval, kind: "full disk", vm: stewardName(n), room: r.Int64N(2) * r.Int64N(maxRoom),
			duration: minFullTime + time.Duration(r.Int64N(int64(interval-minFullTime))),
		})
	}
	kinds := fullDiskKinds
	if shape.tolerance < 2 {
		kinds = kinds[:len(kinds)-1]
	}
	other := fault{
		at: time.Duration(r.Int64N(int64(injectionWindow))), kind: pick(r, kinds), vm: stewardName(r.IntN(shape.stewards)), room: r.Int64N(2) * r.Int64N(maxRoom),
		duration: minFullTime + time.Duration(r.Int64N(int64(2*time.Second))),
	}
	if other.kind == "full disks" {
		for _, n := range r.Perm(shape.stewards)[:shape.tolerance] {
			other.vms = append(other.vms, stewardName(n))
		}
	}
	return append(faults, other)
}

// fullDisksInTurn fills the disks of some stewards one after the other, each until it has refused a write.
const fullDisksInTurn = "full disks in turn"

// maxRefusalTime is how long a full disk may take to refuse a write, as it depends on the load.
const maxRefusalTime = 10 * time.Second

// fillDiskUntilRefused fills a steward's disk for at least a duration, until it has refused a write.
func (c *platformCluster) fillDiskUntilRefused(name string, duration time.Duration) {
	began, failures := time.Now(), c.metric(name, diskFailuresMetric)
	free := c.fillDisks([]string{name}, 0)
	sleepContext(c.ctx, duration)
	for time.Since(began) < maxRefusalTime && c.metric(name, diskFailuresMetric) == failures && sleepContext(c.ctx, pollInterval) {
	}
	<-free()
}

// injectFullDisks injects a fault with full disks and reports whether its kind is one.
func (c *platformCluster) injectFullDisks(f fault) bool {
	switch {
	case f.kind == fullDisksInTurn:
		for _, name := range f.vms {
			c.fillDiskUntilRefused(name, f.duration)
		}
		return true
	case !strings.HasPrefix(f.kind, "full disk") && f.kind != "restart on a full disk":
		return false
	}
	names := f.vms
	if f.kind != "full disks" {
		names = []string{f.vm}
	}
	free := c.fillDisks(names, f.room)
	switch f.kind {
	case "restart on a full disk":
		sleepContext(c.ctx, f.duration/4)
		c.restart(names, f.duration/4, nil)
		sleepContext(c.ctx, f.duration/2)
	case "full disk, then all stewards killed":
		sleepContext(c.ctx, f.duration)
		for _, name := range c.names[:c.shape.stewards] {
			c.signal(name, syscall.SIGKILL)
		}
	default:
		sleepContext(c.ctx, f.duration)
	}
	ended := free()
	if f.kind == "full disk, then all stewards killed" {
		c.restart(c.names[:c.shape.stewards], f.duration/4, nil)
	}
	for range names {
		<-ended
	}
	return true
}

// fillDisks fills the disks of stewards until free is called. If room is set, a write that exceeds it is torn before all are refused. The
// channel that free returns receives a value for each disk once its steward has started.
func (c *platformCluster) fillDisks(names []string, room int64) (free func() <-chan struct{}) {
	ctx, cancel := context.WithCancel(c.ctx)
	ended := make(chan struct{})
	for _, name := range names {
		failures := c.metric(name, diskFailuresMetric)
		c.countFullDisk(name, 1)
		c.withVM(name, func(v *vm) {
			v.fullDisks++
			v.startOnFullDisk = v.startOnFullDisk || !c.hasStarted(v)
			if _, size := newestSegment(v.dataDir); room > 0 && v.fullDisks == 1 {
				c.limitFileSize(v, size+room)
			} else {
				c.limitFileSize(v, 0)
			}
		})
		go func() {
			refused := c.watchFullDisk(ctx, name, failures)
			c.mu.Lock()
			c.disks.filled++
			if refused {
				c.disks.refusing++
			}
			c.mu.Unlock()
			ended <- struct{}{}
		}()
	}
	return func() <-chan struct{} {
		for _, name := range names {
			c.withVM(name, func(v *vm) {
				if v.fullDisks--; v.fullDisks == 0 {
					c.limitFileSize(v, math.MaxInt64)
				}
			})
			c.countFullDisk(name, -1)
		}
		cancel()
		return ended
	}
}

// fullDisks counts full disks; a cluster's mu guards it.
type fullDisks struct {
	// now counts the faults that fill each steward's disk now; excessSince is the time since which more disks are full than the cluster tolerates.
	now         map[string]int
	excessSince time.Time
	// filled counts the faults, refusing those in which the disk refused a write.
	filled, refusing int
}

// countFullDisk counts a disk that is full from now on, or no longer. More full disks than the cluster tolerates affect all stewards.
func (c *platformCluster) countFullDisk(name string, change int) {
	c.mu.Lock()
	if c.disks.now[name] += change; c.disks.now[name] == 0 {
		delete(c.disks.now, name)
	}
	since := c.disks.excessSince
	excess := len(c.disks.now) > c.shape.tolerance
	switch {
	case excess && since.IsZero():
		c.disks.excessSince = time.Now()
	case !excess:
		c.disks.excessSince = time.Time{}
	}
	c.mu.Unlock()
	if !excess && !since.IsZero() {
		c.disturb(c.names[:c.shape.stewards], period{from: since})
	}
}

// watchFullDisk starts a steward's process again if it could not start on its full disk, until ctx ends because the disk is free and the
// process has started. It reports whether the disk refused a write; failures is the number of refused writes before.
func (c *platformCluster) watchFullDisk(ctx context.Context, name string, failures float64) (refused bool) {
	for deadline := time.Now().Add(maxStartTime); time.Now().Before(deadline); sleepContext(c.ctx, pollInterval) {
		current := c.metric(name, diskFailuresMetric)
		if current > 0 && current != failures {
			refused = true
		}
		failures = current
		started := false
		c.withVM(name, func(v *vm) {
			if c.restartOnFullDisk(v) {
				refused = true
			}
			started = c.hasStarted(v)
			if v.fullDisks == 0 {
				c.limitFileSize(v, math.MaxInt64) // again, as the shell may have set the limit meanwhile
			} else if refused {
				c.limitFileSize(v, 0)
			}
		})
		if ctx.Err() != nil && started {
			break
		}
	}
	return refused
}

// restartOnFullDisk reports whether a steward's process ended because its disk was full when it started, and starts it again.
func (c *platformCluster) restartOnFullDisk(v *vm) bool {
	select {
	case err := <-v.process.exited:
		if v.killed {
			return false // the fault that killed it starts it again
		}
		startFailed := v.startOnFullDisk && !c.hasStarted(v)
		if !startFailed {
			c.t.Errorf("%s exited unexpectedly on a full disk: %v", v.name, err)
		}
		sleepContext(c.ctx, startDelay)
		c.start(v.name)
		return startFailed
	default:
		return false
	}
}

// limitFileSize makes all writes to regular files beyond a size fail with EFBIG, in a process that runs. Pipes are not affected.
func (c *platformCluster) limitFileSize(v *vm, size int64) {
	if v.process.command.Process.Signal(syscall.Signal(0)) != nil {
		return
	}
	pid := v.process.command.Process.Pid
	var limit unix.Rlimit
	err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &limit)
	if err == nil {
		limit.Cur = min(uint64(size), limit.Max)
		err = unix.Prlimit(pid, unix.RLIMIT_FSIZE, &limit, nil)
	}
	if err != nil && !errors.Is(err, unix.ESRCH) {
		c.t.Errorf("file size limit of %s: %v", v.name, err)
	}
}

// newestSegment returns the path and the size of the segment that was written last, or "" if there is none.
func newestSegment(dir string) (newest string, size int64) {
	var newestTime time.Time
	_ = filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasPrefix(entry.Name(), "segment-") {
			return nil //nolint:nilerr // files are removed meanwhile
		}
		if info, err := entry.Info(); err == nil && info.ModTime().After(newestTime) {
			newest, size, newestTime = path, info.Size(), info.ModTime()
		}
		return nil
	})
	return newest, size
}

const (
	diskFailuresMetric = "burdocksaddle_steward_disk_failures_total"
	leadsMetric        = "burdocksaddle_steward_leads"
	metricsTimeout     = 200 * time.Millisecond
)

// leader returns the name of the steward that leads, or other if none does.
func (c *platformCluster) leader(other string) string {
	for _, name := range c.names[:c.shape.stewards] {
		if c.metric(name, leadsMetric) == 1 {
			return name
		}
	}
	return other
}

// metric returns the sum of a metric of a VM's process over its labels, or 0 if the process does not answer.
func (c *platformCluster) metric(name, metric string) float64 {
	ctx, cancel := context.WithTimeout(c.ctx, metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.vms[name].address+":9464/metrics", http.NoBody)
	if err != nil {
		c.t.Error(err)
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	sum := 0.0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		line := lines.Text()
		value := line[strings.LastIndex(line, " ")+1:] // labels may have spaces
		if v, err := strconv.ParseFloat(value, 64); err == nil && (strings.HasPrefix(line, metric+" ") || strings.HasPrefix(line, metric+"{")) {
			sum += v
		}
	}
	return sum
}

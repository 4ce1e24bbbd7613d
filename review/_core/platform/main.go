// Command platform plays review case 7: an operator replaces core machines of a small deployment. Three new stewards are started beside the three
// old ones and have time to catch up, then two of the old ones are asked to stop, one after the other.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"burdocksaddle/platform/standin"
)

const (
	exitHeld, exitBroken, exitCouldNotRun = 0, 1, 2

	operatorPort, internalPort = "8306", 7380

	// catchUp is CatchUpS, contact ContactMs and recover RecoverS of the site's sheet.
	catchUp = 4 * time.Second
	contact = 3 * time.Second
	recover = 12 * time.Second
	// stopInterval is the time from the SIGTERM to one old steward to that to the next one.
	stopInterval = 2 * time.Second
	callTimeout  = time.Second
)

// steward is one core machine.
type steward struct {
	name, ip string
	process  *exec.Cmd
	ended    chan struct{}
}

func (s *steward) operator() string { return net.JoinHostPort(s.ip, operatorPort) }

type cluster struct {
	binary, dir string
	seeds       []string
	list        string
	record      io.Writer
	began       time.Time
}

func (c *cluster) logf(format string, values ...any) {
	fmt.Fprintf(c.record, "%8.3f s  %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, values...))
}

func (c *cluster) start(s *steward, first bool) error {
	data := filepath.Join(c.dir, s.name)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	node := standin.Node{
		Name: s.name, Role: "steward", IP: s.ip, DataCentre: "here", Operator: s.operator(), Port: internalPort, Seeds: c.seeds,
		FirstStart: first, DataDir: data, MemoryMB: 280, List: c.list, Grace: 8 * time.Second, Lease: 3 * time.Second, Drain: 3 * time.Second,
		RetryRatio: 0.2, RetryExtra: 56, FaultTolerance: 1,
	}
	settings, err := node.SettingsFile()
	if err != nil {
		return err
	}
	file := filepath.Join(c.dir, s.name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(c.dir, s.name+".log"))
	if err != nil {
		return err
	}
	s.process = exec.Command(c.binary, "steward")
	s.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BURDOCKSADDLE_NODE_FILE=" + file}
	s.process.Stdout, s.process.Stderr = log, log
	if err := s.process.Start(); err != nil {
		return err
	}
	s.ended = make(chan struct{})
	go func() {
		_ = s.process.Wait()
		close(s.ended)
	}()
	c.logf("%s started at %s, first start %t", s.name, s.operator(), first)
	return nil
}

// change sends a configuration to one steward after the other until one acknowledges it.
func (c *cluster) change(version int, to []*steward, within time.Duration) bool {
	body, err := standin.Table(version, []standin.Route{{Name: "book", PathPrefix: "/book/", Kind: "non_idempotent", Service: "plain", LatencyObjectiveMS: 100, TimeoutMS: 1000}}, nil, []string{"m0"}, "engine", "plain")
	if err != nil {
		return false
	}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, s := range to {
			if status, _ := call(http.MethodPost, "http://"+s.operator()+"/api/config/replace", body); status == http.StatusOK {
				c.logf("version %d acknowledged by %s", version, s.name)
				return true
			}
		}
	}
	c.logf("version %d not acknowledged within %v", version, within)
	return false
}

// read returns the newest version that a steward returns, 0 if none does within the time.
func (c *cluster) read(from []*steward, within time.Duration) (newest int) {
	answers := map[string]int{}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, s := range from {
			status, body := call(http.MethodGet, "http://"+s.operator()+"/api/config/describe", nil)
			var table struct{ Version int }
			if status == http.StatusOK && json.Unmarshal(body, &table) == nil {
				newest = max(newest, table.Version)
			}
			answers[fmt.Sprintf("%s answered %d", s.name, status)]++
		}
	}
	c.logf("reads for %v: newest version %d; %v", within, newest, answers)
	return newest
}

// call returns the status of a response, 0 for none, and its body.
func call(method, url string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")) }

func run(binary, recordFile string, trouble bool) int {
	record, err := os.Create(recordFile)
	if err != nil {
		return exitCouldNotRun
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "review-core-")
	if err != nil {
		return exitCouldNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	subnet, err := standin.ReserveSubnet(context.Background())
	if err != nil {
		return exitCouldNotRun
	}
	defer subnet.Close()
	list, err := standin.StartList(net.JoinHostPort(subnet.IP(1, 0), "8142"), 800*time.Millisecond)
	if err != nil {
		return exitCouldNotRun
	}
	defer list.Close()
	c := &cluster{binary: binary, dir: dir, list: list.Address, record: io.MultiWriter(record, os.Stdout), began: time.Now()}
	var stewards []*steward
	for n := range 6 {
		stewards = append(stewards, &steward{name: fmt.Sprintf("core-%d", n+1), ip: subnet.IP(2, n)})
	}
	before, after, removed, left := stewards[:3], stewards[3:], stewards[:2], stewards[2:]
	for _, s := range before {
		c.seeds = append(c.seeds, s.operator())
	}
	defer func() {
		for _, s := range stewards {
			if s.ended != nil {
				_ = s.process.Process.Kill()
				<-s.ended
			}
		}
	}()
	for _, s := range before {
		if c.start(s, true) != nil {
			return exitCouldNotRun
		}
	}
	if !c.change(1, before, 10*time.Second) {
		return exitCouldNotRun
	}
	for _, s := range after {
		if c.start(s, false) != nil {
			return exitCouldNotRun
		}
	}
	time.Sleep(catchUp + 2*time.Second)
	if !c.change(2, stewards, contact) || c.read(after, contact) != 2 {
		return exitCouldNotRun
	}
	if trouble {
		for _, s := range removed {
			c.logf("SIGTERM to %s", s.name)
			stopped := time.Now()
			if s.process.Process.Signal(syscall.SIGTERM) != nil {
				return exitCouldNotRun
			}
			<-s.ended
			c.logf("%s has ended with %v", s.name, s.process.ProcessState)
			time.Sleep(stopInterval - time.Since(stopped))
		}
	}
	time.Sleep(recover)
	if c.read(left, 3*contact) < 2 {
		c.logf("CONFIG broken: version 2 was acknowledged, and no steward returns it")
		return exitBroken
	}
	if !c.change(3, left, contact) {
		c.logf("version 3 was not acknowledged, which this case does not judge")
	}
	c.logf("CONFIG held")
	return exitHeld
}

package e2e

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// footprintInterval is how often a process's usage is sampled.
const footprintInterval = 50 * time.Millisecond

// footprint is what a process takes up on its machine.
type footprint struct {
	// memory is its resident memory in bytes, queued what the kernel holds for the connections that it accepts: bytes that it has not read
	// and bytes that its clients have not read.
	memory, queued int
	// peak is the most that its resident memory has been.
	peak    int
	sockets int
}

// String returns the footprint for a test's output.
func (u footprint) String() string {
	const mebibyte = 1 << 20
	return fmt.Sprintf("%.0f MB resident, %.0f MB queued in the kernel, peak %.0f MB resident, %d sockets",
		float64(u.memory)/mebibyte, float64(u.queued)/mebibyte, float64(u.peak)/mebibyte, u.sockets)
}

// footprint reads what a process takes up now of a process that listens on the given addresses. It returns false if the process is gone.
func (p *process) footprint(listening []string) (footprint, bool) {
	dir := "/proc/" + strconv.Itoa(p.command.Process.Pid)
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return footprint{}, false
	}
	var u footprint
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 {
			switch kilobytes, _ := strconv.Atoi(fields[1]); fields[0] {
			case "VmRSS:":
				u.memory = kilobytes << 10
			case "VmHWM:":
				u.peak = kilobytes << 10
			}
		}
	}
	descriptors, err := os.ReadDir(dir + "/fd")
	if err != nil {
		return footprint{}, false
	}
	for _, d := range descriptors {
		if target, err := os.Readlink(filepath.Join(dir, "fd", d.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			u.sockets++
		}
	}
	u.queued = queuedBytes(listening)
	return u, u.memory > 0
}

// queuedBytes returns how many bytes the kernel holds in both directions for the connections that were accepted at the given addresses.
func queuedBytes(listening []string) int {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const stateListen = "0A"
	total := 0
	for line := range bytes.Lines(table) {
		fields := strings.Fields(string(line))
		if len(fields) < 5 || fields[3] == stateListen {
			continue
		}
		for _, address := range listening {
			if fields[1] != kernelAddress(address) {
				continue
			}
			sent, received, _ := strings.Cut(fields[4], ":")
			for _, queue := range []string{sent, received} {
				n, _ := strconv.ParseInt(queue, 16, 64) // the heading has no number
				total += int(n)
			}
		}
	}
	return total
}

// kernelAddress returns an IPv4 address with its port as /proc/net/tcp shows it.
func kernelAddress(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	ip := a.Addr().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), a.Port())
}

// watchFootprint samples a process's usage until the returned function is called, which returns the greatest values seen; memory and queued are
// those of the sample with the greatest sum.
func (p *process) watchFootprint(ctx context.Context, listening []string) (most func() footprint) {
	ctx, cancel := context.WithCancel(ctx)
	seen := make(chan footprint, 1)
	go func() {
		var most footprint
		for sleepContext(ctx, footprintInterval) {
			now, ok := p.footprint(listening)
			if !ok {
				break
			}
			if now.memory+now.queued > most.memory+most.queued {
				most.memory, most.queued = now.memory, now.queued
			}
			most.peak, most.sockets = max(most.peak, now.peak), max(most.sockets, now.sockets)
		}
		seen <- most
	}()
	return func() footprint {
		cancel()
		return <-seen
	}
}

// TestFootprintCountsWhatNobodyReads guards the measure itself: it must see both what a process leaves unread and what its clients leave unread.
func TestFootprintCountsWhatNobodyReads(t *testing.T) {
	const unread = 48 << 10
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	if _, err := client.Write(make([]byte, unread)); err != nil {
		t.Fatal(err)
	}
	received := queuedBytes([]string{listener.Addr().String()})
	if err := server.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	_, _ = server.Write(make([]byte, 64<<20)) // blocks once the kernel holds what it may
	if both := queuedBytes([]string{listener.Addr().String()}); received < unread || both <= received {
		t.Errorf("%d bytes were left unread, %d counted; %d after a response that nobody reads", unread, received, both)
	}
}

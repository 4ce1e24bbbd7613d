package e2e

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"burdocksaddle/platform/standin"
)

// crowdsEnv enables the tests with crowds of clients that don't behave: with crowdsShort, most addresses meet all kinds of clients only at the
// same time.
const (
	crowdsEnv   = "BURDOCKSADDLE_CROWDS"
	crowdsShort = "short"
)

// crowdShape is a deployment on small machines, so that a small crowd reaches their limits.
var crowdShape = clusterShape{stewards: 1, gateways: 1, engines: 1, plainServices: 1, grace: stopGrace, memoryMB: 96, descriptors: 700}

const (
	// reservedDescriptors of a machine's descriptors are not for sockets.
	reservedDescriptors = 200
	// crowdTime is how long a crowd stays.
	crowdTime = 4 * time.Second
	// answerPatience limits how long a test waits for the answer to an ordinary request. It is longer than any client waits.
	answerPatience = 30 * time.Second
	// few and several clients suffice where each takes up much; many are more than a process has descriptors for.
	few, several, many = 200, 400, 600

	metricsPort = ":9464"
	crowdHost   = "one.example"
	crowdPath   = "/read/x"
	noRoutePath = "/none/x"
	readyPath   = "/api/readyz"
	metricsPath = "/metrics"
)

// crowd is a number of clients; the n-th one behaves as act does for n.
type crowd struct {
	name    string
	clients int
	act     behaviour
}

// atOnce returns a crowd of all the kinds.
func atOnce(kinds []crowd) crowd {
	return crowd{"everything at once", many, func(ctx context.Context, c *crowdClient) { kinds[c.n%len(kinds)].act(ctx, c) }}
}

// crowdsAtHTTP are the kinds of clients that come to every address that speaks HTTP.
var crowdsAtHTTP = []crowd{
	{"bodies short of their end", few, sendAlmostAll(legalBodyBytes)},
	{"small bodies short of their end", many, sendAlmostAll(48 << 10)},
	{"bodies in chunks of one byte", few, sendChunks(64 << 10)},
	{"bodies byte by byte", many, trickleBody},
	{"bodies without end", few, sendWithoutEnd},
	{"bodies declared too long", few, declareTooMuch},
	{"whole bodies", few, sendWhole(bodyBytes)},
	{"heads of short fields", several, manyFields(legalHeadBytes)},
	{"heads without end", few, headWithoutEnd},
	{"half heads", many, halfHead},
	{"heads byte by byte", many, trickleHead},
	{"idle connections", many, stayIdle},
	{"idle connections after an answer", many, stayAfterAnswer},
	{"requests sent ahead", few, sendAhead(http.MethodGet)},
	{"answers that nobody reads", many, readNothing(http.MethodGet, "")},
}

// crowdsAtSessions are the kinds of clients that come to addresses for internal calls.
var crowdsAtSessions = []crowd{
	{"large frames short of their end", 20, sendFrames}, {"streams without a call", 20, openStreams}, {"idle connections", many, stayIdle},
	{"bytes that are no session", many, sendAlmostAll(legalBodyBytes)},
}

// door is an address that a process listens on, with a path there.
type door struct {
	name, role, path string
	address          func(v *vm) string
	crowds           []crowd
	// separately is set where each kind of clients comes alone in short runs, too.
	separately bool
}

func clientAddress(v *vm) string   { return v.client }
func readyAddress(v *vm) string    { return v.ready }
func operatorAddress(v *vm) string { return v.operator }
func metricsAddress(v *vm) string  { return v.address + metricsPort }

var doors = []door{
	{"clients with a route", "gateway", crowdPath, clientAddress, append([]crowd{
		{"streams that nobody reads", few, readNothing(http.MethodPost, "Burdocksaddle-Model: model0\r\nBurdocksaddle-Token-Count: 20,8\r\n")},
	}, crowdsAtHTTP...), true},
	{"clients without a route", "gateway", noRoutePath, clientAddress, crowdsAtHTTP, false},
	{"ready", "gateway", readyPath, readyAddress, crowdsAtHTTP, false},
	{"metrics of a gateway", "gateway", metricsPath, metricsAddress, crowdsAtHTTP, false},
	{"changes by operators", "steward", "/api/config/replace", operatorAddress, append([]crowd{
		{"configurations of many routes", few, sendWhole(manyRoutes())},
	}, crowdsAtHTTP...), true},
	{"reads by operators", "steward", "/api/config/describe", operatorAddress, crowdsAtHTTP, false},
	{"ready of a steward", "steward", readyPath, operatorAddress, crowdsAtHTTP, false},
	{"metrics of a steward", "steward", metricsPath, metricsAddress, crowdsAtHTTP, false},
	{"internal calls", "steward", "/", func(v *vm) string { return v.bindAddress + ":7380" }, crowdsAtSessions, true},
}

// TestCrowds has crowds of clients that don't behave at each address of each process, one kind of clients after the other and all at once. The process must
// go on, stay within the memory and the descriptors of its machine, and answer ordinary requests meanwhile and afterwards.
func TestCrowds(t *testing.T) {
	if os.Getenv(crowdsEnv) == "" {
		t.Skipf("runs with %s=1, as make crowds sets it", crowdsEnv)
	}
	binary := buildBinary(t)
	for _, d := range doors {
		t.Run(strings.ReplaceAll(d.name, " ", "_"), func(t *testing.T) {
			for _, kind := range d.crowds {
				if d.separately || os.Getenv(crowdsEnv) != crowdsShort {
					t.Run(strings.ReplaceAll(kind.name, " ", "_"), func(t *testing.T) { meetCrowd(t, binary, d, kind) })
				}
			}
			all := atOnce(d.crowds)
			t.Run(strings.ReplaceAll(all.name, " ", "_"), func(t *testing.T) { meetCrowd(t, binary, d, all) })
		})
	}
}

func meetCrowd(t *testing.T, binary string, d door, kind crowd) {
	c := startCrowdCluster(t, binary)
	name := d.role + "-0"
	v := c.vms[name]
	listening := []string{v.client, v.ready, v.operator, v.address + metricsPort, v.bindAddress + ":" + strconv.Itoa(c.port)}
	most := v.process.watchFootprint(c.ctx, listening)
	ctx, cancel := context.WithCancel(c.ctx)
	gone := runCrowd(ctx, kind.clients, d.address(v), crowdHost, d.path, kind.act)
	sleepContext(ctx, crowdTime)
	c.expectAnswers("while the crowd is there", d.role)
	cancel()
	<-gone
	c.expectAnswers("after the crowd", d.role)
	used := most()
	select {
	case err := <-v.process.exited:
		t.Fatalf("%s ended: %v", name, err)
	default:
	}
	checkFootprint(t, name, used, c.shape.memoryMB, c.shape.descriptors)
}

// startCrowdCluster starts a deployment that serves.
func startCrowdCluster(t *testing.T, binary string) *platformCluster {
	t.Helper()
	c := newPlatformCluster(t, crowdShape, binary)
	operator := standin.NewOperator()
	for end := time.Now().Add(answerPatience); operator.Replace(c.ctx, c.vms["steward-0"].operator, c.routingTable(1, 0, nil)) != http.StatusOK; sleepContext(c.ctx, pollInterval) {
		if time.Now().After(end) {
			t.Fatal("the routing table was not acknowledged")
		}
	}
	for _, role := range []string{"steward", "gateway"} {
		c.expectAnswers("before the crowd", role)
	}
	return c
}

// ordinary are the requests that each role must answer.
func (c *platformCluster) ordinary(role string) map[string]func() bool {
	v := c.vms[role+"-0"]
	get := func(url string) func() bool {
		return func() bool { return fetch(c.ctx, url) == http.StatusOK }
	}
	if role == "steward" {
		return map[string]func() bool{
			"a change of the configuration": func() bool {
				return standin.NewOperator().Replace(c.ctx, v.operator, c.routingTable(1, 0, nil)) == http.StatusOK
			},
			"a read of the configuration": get("http://" + v.operator + "/api/config/describe"),
			"a readiness probe":           get("http://" + v.operator + readyPath),
			"a read of the metrics":       get("http://" + v.address + metricsPort + metricsPath),
			"an internal call":            func() bool { return c.ping(v) },
		}
	}
	return map[string]func() bool{
		"a request": func() bool {
			outcome := standin.NewCaller(v.client, true).Do(c.ctx, standin.Request{
				ID: "ordinary-" + strconv.FormatInt(time.Now().UnixNano(), 36), Host: crowdHost, Path: "/book/x", Timeout: 5 * time.Second, Body: []byte("a body"),
			})
			return outcome.Status == http.StatusOK && outcome.Stamp != ""
		},
		"a readiness probe":     get("http://" + v.ready + readyPath),
		"a read of the metrics": get("http://" + v.address + metricsPort + metricsPath),
	}
}

// expectAnswers requires an answer to an ordinary request of each kind. Clients come back after a refusal, each time on a new connection.
func (c *platformCluster) expectAnswers(when, role string) {
	c.t.Helper()
	for what, ask := range c.ordinary(role) {
		for end := time.Now().Add(answerPatience); !ask(); sleepContext(c.ctx, pollInterval) {
			if time.Now().After(end) {
				c.t.Errorf("%s: %s is not answered", when, what)
				break
			}
		}
	}
}

// ping makes an internal call that needs no state.
func (c *platformCluster) ping(v *vm) bool {
	ctx, cancel := context.WithTimeout(c.ctx, 5*time.Second)
	defer cancel()
	return pingAddress(ctx, v.bindAddress+":"+strconv.Itoa(c.port)) == nil
}

// fetch returns the status of the response to a request on a new connection, 0 without a complete response.
func fetch(ctx context.Context, url string) int {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// TestLegalRequestsAreServedInCalm sends single requests of each kind that is within the limits: however uncommon, each must be served.
func TestLegalRequestsAreServedInCalm(t *testing.T) {
	if os.Getenv(crowdsEnv) == "" {
		t.Skipf("runs with %s=1, as make crowds sets it", crowdsEnv)
	}
	c := startCrowdCluster(t, buildBinary(t))
	address := c.vms["gateway-0"].client
	body := string(bodyBytes)
	chunks := fmt.Sprintf("%x\r\n%s\r\n", 4096, body[:4096])
	const length = "Content-Length: %d\r\n\r\n%s"
	head := (&crowdClient{host: crowdHost, path: crowdPath}).head(http.MethodPost)
	for name, rest := range map[string]string{
		"the longest body":              fmt.Sprintf(length, legalBodyBytes, body),
		"the longest body in chunks":    "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunks, legalBodyBytes/4096) + "0\r\n\r\n",
		"chunks of one byte":            "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 64<<10) + "0\r\n\r\n",
		"as many short fields as fit":   shortFields(legalHeadBytes-256) + fmt.Sprintf(length, 4, "body"),
		"one long field":                "X-Long: " + strings.Repeat("x", legalHeadBytes-256) + "\r\n" + fmt.Sprintf(length, 4, "body"),
		"short fields and a long body":  shortFields(legalHeadBytes-256) + fmt.Sprintf(length, legalBodyBytes, body),
		"a trailer":                     "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\nX-After: all\r\n\r\n",
		"a request without fields more": fmt.Sprintf(length, 0, ""),
	} {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		status, err := exchange(conn, head+rest)
		if err != nil || status != http.StatusOK {
			t.Errorf("%s: status %d, %v", name, status, err)
		}
		_ = conn.Close()
	}
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for n := range 50 {
		if status, err := exchange(conn, head+fmt.Sprintf(length, 4, "body")); err != nil || status != http.StatusOK {
			t.Fatalf("request %d on one connection: status %d, %v", n, status, err)
		}
	}
}

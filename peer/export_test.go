package peer

import (
	"testing"
	"time"
)

// NewIssuer creates a CA and returns a function that writes certificates signed by it for an IP address, for tests of complete
// nodes.
func NewIssuer(t *testing.T) func(dir, ip string) Files {
	ca := newTestCA(t)
	return func(dir, ip string) Files { return ca.issue(t, dir, ip, time.Now().Add(time.Hour)) }
}

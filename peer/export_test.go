package peer

import (
	"testing"
	"time"
)

// NewIssuer creates a CA and returns a function that writes certificates signed by it for an IP address, for tests of complete
// nodes.
func NewIssuer(t *testing.T) func(folder, ip string) Files {
	ca := newTestCA(t)
	return func(folder, ip string) Files { return ca.issue(t, folder, ip, time.Now().Add(time.Hour)) }
}

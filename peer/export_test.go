package peer

import (
	"testing"
	"time"
)

// Issuer returns what writes certificates of one authority for an IP number, for tests of whole nodes.
func Issuer(t *testing.T) func(folder, ip string) Files {
	own := newAuthority(t)
	return func(folder, ip string) Files { return own.issue(t, folder, ip, time.Now().Add(time.Hour)) }
}

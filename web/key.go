package web

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"strings"
)

// callerKeys maps the name of each caller to the SHA-256 hash of its key.
type callerKeys map[string][sha256.Size]byte

func hashKeys(keys map[string]string) callerKeys {
	all := callerKeys{}
	for name, key := range keys {
		all[name] = sha256.Sum256([]byte(key))
	}
	return all
}

// caller returns the name of the caller that sent a request, identified by its key. If no keys are configured, the name is
// the remote address.
func (k callerKeys) caller(r *http.Request) (name string, ok bool) {
	if len(k) == 0 {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			return r.RemoteAddr, true
		}
		return host, true
	}
	key, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !bearer || key == "" {
		return "", false
	}
	hash := sha256.Sum256([]byte(key))
	// Compare with all keys in constant time, so that the duration reveals nothing about them.
	for callerName, want := range k {
		if subtle.ConstantTimeCompare(hash[:], want[:]) == 1 {
			name, ok = callerName, true
		}
	}
	return name, ok
}

func unauthorized(w http.ResponseWriter) Problem {
	w.Header().Set("WWW-Authenticate", "Bearer")
	return Problem{
		Type: "about:blank", Title: http.StatusText(http.StatusUnauthorized), Status: http.StatusUnauthorized,
		Code: "Unauthorized", Run: "NotRun", Detail: "send the caller's key as Authorization: Bearer KEY",
	}
}

package web

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"strings"
)

// callerKeys holds the digest of each caller's key by its name.
type callerKeys map[string][sha256.Size]byte

func digests(keys map[string]string) callerKeys {
	all := callerKeys{}
	for name, key := range keys {
		all[name] = sha256.Sum256([]byte(key))
	}
	return all
}

// caller names who sends a request: by its key, or by its address where no keys are set.
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
	digest := sha256.Sum256([]byte(key))
	// Every key is compared whole, so that the time tells nothing.
	for one, held := range k {
		if subtle.ConstantTimeCompare(digest[:], held[:]) == 1 {
			name, ok = one, true
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

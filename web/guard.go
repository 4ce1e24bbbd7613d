package web

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

const defaultOperator = "local"

// Guard lets operators in by their tokens, of which it keeps only hashes.
type Guard struct {
	hashes map[string][sha256.Size]byte
}

// NewGuard makes a Guard; tokens maps an operator's name to the token, empty lets everyone in.
func NewGuard(tokens map[string]string) Guard {
	g := Guard{hashes: map[string][sha256.Size]byte{}}
	for name, token := range tokens {
		g.hashes[name] = sha256.Sum256([]byte(token))
	}
	return g
}

type guarded func(w http.ResponseWriter, r *http.Request, operator string)

func (g Guard) protect(next guarded) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator := g.operator(r.Header.Get("Authorization"))
		if operator == "" {
			writeProblem(w, Problem{Type: "about:blank", Title: "Unauthorized", Status: http.StatusUnauthorized, Code: "TokenInvalid"}, 0)
			return
		}
		next(w, r, operator)
	}
}

// operator compares hashes with every token, so that the time tells nothing of any of them.
func (g Guard) operator(authorization string) string {
	if len(g.hashes) == 0 {
		return defaultOperator
	}
	token, bearer := strings.CutPrefix(authorization, "Bearer ")
	given, found := sha256.Sum256([]byte(token)), ""
	for name, want := range g.hashes {
		if subtle.ConstantTimeCompare(given[:], want[:]) == 1 {
			found = name
		}
	}
	if !bearer {
		return ""
	}
	return found
}

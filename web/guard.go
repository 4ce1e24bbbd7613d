package web

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// defaultOperator is the name of every operator if no tokens are configured.
const defaultOperator = "local"

// Guard authenticates operators by their tokens. It stores only hashes of the tokens.
type Guard struct {
	hashes map[string][sha256.Size]byte
}

// NewGuard returns a Guard. tokens maps an operator's name to its token; if it is empty, no token is required.
func NewGuard(tokens map[string]string) Guard {
	g := Guard{hashes: map[string][sha256.Size]byte{}}
	for name, token := range tokens {
		g.hashes[name] = sha256.Sum256([]byte(token))
	}
	return g
}

type operatorHandler func(w http.ResponseWriter, r *http.Request, operator string)

func (g Guard) protect(next operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator := g.operator(r.Header.Get("Authorization"))
		if operator == "" {
			writeProblem(w, Problem{Type: "about:blank", Title: "Unauthorized", Status: http.StatusUnauthorized, Code: "TokenInvalid"}, 0)
			return
		}
		next(w, r, operator)
	}
}

// operator returns the name of the operator that a token belongs to, or an empty string. It compares the hash with those of
// all tokens in constant time, so that the duration reveals nothing about them.
func (g Guard) operator(authorization string) string {
	if len(g.hashes) == 0 {
		return defaultOperator
	}
	token, bearer := strings.CutPrefix(authorization, "Bearer ")
	hash, found := sha256.Sum256([]byte(token)), ""
	for name, want := range g.hashes {
		if subtle.ConstantTimeCompare(hash[:], want[:]) == 1 {
			found = name
		}
	}
	if !bearer {
		return ""
	}
	return found
}

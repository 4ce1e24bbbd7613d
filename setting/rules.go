package setting

import (
	"net"
	"slices"
	"strings"

	"burdocksaddle/jsonc"
)

const missingValue = "missing or empty"

// checkRules checks the constraints that involve several keys.
func (s Settings) checkRules() []jsonc.Problem {
	var c ruleChecker
	s.checkListen(&c)
	s.checkTLS(&c)
	if s.Has(RoleEntry) {
		s.checkEntry(&c)
	}
	if s.Has(RoleAgent) {
		s.checkAgent(&c)
	}
	if s.Has(RoleControl) {
		s.checkControl(&c)
	}
	return c.problems
}

type ruleChecker struct {
	problems []jsonc.Problem
}

func (r *ruleChecker) require(ok bool, key, value, allowed string) {
	if !ok {
		r.problems = append(r.problems, jsonc.Problem{Key: key, Value: value, Allowed: allowed})
	}
}

func (s Settings) checkListen(r *ruleChecker) {
	acceptsPeers := s.Has(RoleAgent) || s.Has(RoleControl)
	r.require(!acceptsPeers || s.Listen != "", "Listen", missingValue, "HOST:PORT, since other processes connect to the roles Agent and Control")
	exposed := s.Listen != "" && !isLoopback(s.Listen)
	r.require(!exposed || s.TLS.complete() || s.TLS.AllowPlaintext, "Listen", formatValue(s.Listen),
		"a loopback address, or TLS.CAFile, TLS.CertFile and TLS.KeyFile, or TLS.AllowPlaintext true")
	remote := slices.ContainsFunc(s.Controls, func(address string) bool { return !isLoopback(address) })
	r.require(!remote || s.TLS.complete() || s.TLS.AllowPlaintext, "Controls", formatValue(s.Controls),
		"loopback addresses, or TLS.CAFile, TLS.CertFile and TLS.KeyFile, or TLS.AllowPlaintext true")
	public := s.Operator.Listen != "" && !isLoopback(s.Operator.Listen)
	r.require(!public || len(s.Operator.TokenFiles) > 0, "Operator.Listen", formatValue(s.Operator.Listen),
		"a loopback address, or at least one operator in Operator.TokenFiles")
}

func (s Settings) checkTLS(r *ruleChecker) {
	if s.TLS.CAFile == "" && s.TLS.CertFile == "" && s.TLS.KeyFile == "" {
		return
	}
	const together = "a file, since CAFile, CertFile and KeyFile go together"
	r.require(s.TLS.CAFile != "", "TLS.CAFile", missingValue, together)
	r.require(s.TLS.CertFile != "", "TLS.CertFile", missingValue, together)
	r.require(s.TLS.KeyFile != "", "TLS.KeyFile", missingValue, together)
}

func (s Settings) checkEntry(r *ruleChecker) {
	e := s.Entry
	r.require(e.CallerListen != "", "Entry.CallerListen", missingValue, "HOST:PORT, since the role Entry serves callers")
	r.require(e.DefaultDeadlineMS <= e.MaxDeadlineMS, "Entry.DefaultDeadlineMS", formatValue(e.DefaultDeadlineMS),
		"at most Entry.MaxDeadlineMS, "+formatValue(e.MaxDeadlineMS))
}

func (s Settings) checkAgent(r *ruleChecker) {
	a := s.Agent
	r.require(a.Endpoint != "", "Agent.Endpoint", missingValue, "the endpoint's name, since the role Agent serves one")
	r.require(a.Service != "", "Agent.Service", missingValue, "the name of the service that the endpoint serves")
	r.require(a.EndpointURL != "", "Agent.EndpointURL", missingValue, "a URL with http or https")
	r.require(a.Kind != "", "Agent.Kind", missingValue, "one of Model, Plain")
	r.require(a.Kind != "Model" || a.MemoryMB > 0, "Agent.MemoryMB", "0", "at least 1 where Agent.Kind is Model")
}

func (s Settings) checkControl(r *ruleChecker) {
	bootstrap := s.Control.Bootstrap
	r.require(len(bootstrap) > 0, "Control.Bootstrap", missingValue, "the first members as NAME=HOST:PORT")
	names := make(map[string]bool, len(bootstrap))
	for _, member := range bootstrap {
		name, _, _ := strings.Cut(member, "=")
		r.require(!names[name], "Control.Bootstrap", formatValue(member), "each name once")
		names[name] = true
	}
}

func (t TLS) complete() bool {
	return t.CAFile != "" && t.CertFile != "" && t.KeyFile != ""
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

package setting

import (
	"net"
	"slices"
	"strings"

	"burdocksaddle/jsonc"
)

const missing = "missing or empty"

// checkRules checks what ties several keys together.
func (s Settings) checkRules() []jsonc.Problem {
	var r rules
	s.rulesOfListen(&r)
	s.rulesOfTLS(&r)
	if s.Has(RoleEntry) {
		s.rulesOfEntry(&r)
	}
	if s.Has(RoleAgent) {
		s.rulesOfAgent(&r)
	}
	if s.Has(RoleControl) {
		s.rulesOfControl(&r)
	}
	return r.broken
}

type rules struct {
	broken []jsonc.Problem
}

func (r *rules) need(holds bool, key, value, allowed string) {
	if !holds {
		r.broken = append(r.broken, jsonc.Problem{Key: key, Value: value, Allowed: allowed})
	}
}

func (s Settings) rulesOfListen(r *rules) {
	serves := s.Has(RoleAgent) || s.Has(RoleControl)
	r.need(!serves || s.Listen != "", "Listen", missing, "HOST:PORT, since the roles Agent and Control are dialled")
	open := s.Listen != "" && !loopback(s.Listen)
	r.need(!open || s.TLS.complete() || s.TLS.AllowPlaintext, "Listen", show(s.Listen),
		"a loopback address, or TLS.CAFile, TLS.CertFile and TLS.KeyFile, or TLS.AllowPlaintext true")
	away := slices.ContainsFunc(s.Controls, func(address string) bool { return !loopback(address) })
	r.need(!away || s.TLS.complete() || s.TLS.AllowPlaintext, "Controls", show(s.Controls),
		"loopback addresses, or TLS.CAFile, TLS.CertFile and TLS.KeyFile, or TLS.AllowPlaintext true")
	public := s.Operator.Listen != "" && !loopback(s.Operator.Listen)
	r.need(!public || len(s.Operator.TokenFiles) > 0, "Operator.Listen", show(s.Operator.Listen),
		"a loopback address, or at least one operator in Operator.TokenFiles")
}

func (s Settings) rulesOfTLS(r *rules) {
	if s.TLS.CAFile == "" && s.TLS.CertFile == "" && s.TLS.KeyFile == "" {
		return
	}
	const together = "a file, since CAFile, CertFile and KeyFile go together"
	r.need(s.TLS.CAFile != "", "TLS.CAFile", missing, together)
	r.need(s.TLS.CertFile != "", "TLS.CertFile", missing, together)
	r.need(s.TLS.KeyFile != "", "TLS.KeyFile", missing, together)
}

func (s Settings) rulesOfEntry(r *rules) {
	e := s.Entry
	r.need(e.CallerListen != "", "Entry.CallerListen", missing, "HOST:PORT, since the role Entry serves callers")
	r.need(e.DefaultDeadlineMS <= e.MaxDeadlineMS, "Entry.DefaultDeadlineMS", show(e.DefaultDeadlineMS),
		"at most Entry.MaxDeadlineMS, "+show(e.MaxDeadlineMS))
}

func (s Settings) rulesOfAgent(r *rules) {
	a := s.Agent
	r.need(a.Endpoint != "", "Agent.Endpoint", missing, "the endpoint's name, since the role Agent guards one")
	r.need(a.Service != "", "Agent.Service", missing, "the name of the service that the endpoint serves")
	r.need(a.EndpointURL != "", "Agent.EndpointURL", missing, "a URL with http or https")
	r.need(a.Kind != "", "Agent.Kind", missing, "one of Model, Plain")
	r.need(a.Kind != "Model" || a.MemoryMB > 0, "Agent.MemoryMB", "0", "at least 1 where Agent.Kind is Model")
}

func (s Settings) rulesOfControl(r *rules) {
	first := s.Control.Bootstrap
	r.need(len(first) > 0, "Control.Bootstrap", missing, "the first members as NAME=HOST:PORT")
	names := make(map[string]bool, len(first))
	for _, member := range first {
		name, _, _ := strings.Cut(member, "=")
		r.need(!names[name], "Control.Bootstrap", show(member), "each name once")
		names[name] = true
	}
}

func (t TLS) complete() bool {
	return t.CAFile != "" && t.CertFile != "" && t.KeyFile != ""
}

func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

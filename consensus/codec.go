package consensus

import (
	"google.golang.org/protobuf/proto"

	"burdocksaddle/wirepb"
)

// ToWire converts the message to its wire format. From and To are not included.
func (m Message) ToWire() *wirepb.LogMessage {
	w := &wirepb.LogMessage{
		Kind: uint32(m.Kind), Term: m.Term, Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit,
		Entries: EntriesToWire(m.Entries), Reject: m.Reject, Hint: m.Hint, Transfer: m.Transfer,
		Round: m.Round, SentTick: m.SentTick, EchoTick: m.EchoTick, ProofAge: m.ProofAge, Token: m.Token,
		Offset: m.Offset, Chunk: m.Chunk, LastChunk: m.LastChunk, Leaving: m.Leaving,
	}
	for _, a := range m.Absences {
		w.Absences = append(w.Absences, &wirepb.LogAbsence{Member: a.Member, Silent: a.SilentTicks, Stalled: a.StalledTicks, Leaving: a.Leaving})
	}
	if m.Kind == KindSnapshot {
		w.Configuration = m.Configuration.ToWire()
	}
	return w
}

// MessageFromWire validates a message received from the wire and converts it; it fails with ErrMalformed.
func MessageFromWire(from, to uint64, w *wirepb.LogMessage) (Message, error) {
	kind := w.GetKind()
	if kind == 0 || kind >= uint32(kindEnd) || from == 0 {
		return Message{}, ErrMalformed{What: "message"}
	}
	entries, err := EntriesFromWire(w.GetEntries())
	if err != nil {
		return Message{}, err
	}
	for i, e := range entries {
		if e.Index != w.GetIndex()+uint64(i)+1 || e.Term > w.GetTerm() {
			return Message{}, ErrMalformed{What: "entries of a message"}
		}
	}
	configuration, err := ConfigurationFromWire(w.GetConfiguration())
	if err != nil {
		return Message{}, err
	}
	var absences []Absence
	for _, a := range w.GetAbsences() {
		absences = append(absences, Absence{Member: a.GetMember(), SilentTicks: a.GetSilent(), StalledTicks: a.GetStalled(), Leaving: a.GetLeaving()})
	}
	return Message{
		Kind: MessageKind(kind), From: from, To: to, Term: w.GetTerm(), Index: w.GetIndex(), LogTerm: w.GetLogTerm(),
		Commit: w.GetCommit(), Entries: entries, Reject: w.GetReject(), Hint: w.GetHint(), Transfer: w.GetTransfer(),
		Round: w.GetRound(), SentTick: w.GetSentTick(), EchoTick: w.GetEchoTick(), ProofAge: w.GetProofAge(),
		Token: w.GetToken(), Offset: w.GetOffset(), Chunk: w.GetChunk(), LastChunk: w.GetLastChunk(),
		Configuration: configuration, Leaving: w.GetLeaving(), Absences: absences,
	}, nil
}

// EntriesToWire converts entries to the format used in storage and on the wire.
func EntriesToWire(entries []Entry) []*wirepb.LogEntry {
	var out []*wirepb.LogEntry
	for _, e := range entries {
		out = append(out, &wirepb.LogEntry{Term: e.Term, Index: e.Index, Kind: uint32(e.Kind), Data: e.Data})
	}
	return out
}

// EntriesFromWire validates entries from storage or the wire and converts them; it fails with ErrMalformed.
func EntriesFromWire(entries []*wirepb.LogEntry) ([]Entry, error) {
	var out []Entry
	for _, w := range entries {
		if w.GetKind() > uint32(EntryConfiguration) || w.GetIndex() == 0 {
			return nil, ErrMalformed{What: "entry"}
		}
		e := Entry{Term: w.GetTerm(), Index: w.GetIndex(), Kind: EntryKind(w.GetKind()), Data: w.GetData()}
		if e.Kind == EntryConfiguration {
			if _, err := unmarshalConfiguration(e.Data); err != nil {
				return nil, err
			}
		}
		out = append(out, e)
	}
	return out, nil
}

// ToWire converts the configuration to the format used in storage and on the wire. Members that don't know transitions take a joint configuration
// for one that lies between the previous and the next voters: it differs from each by at most one voter, so that quorums always overlap.
func (c Configuration) ToWire() *wirepb.LogConfiguration {
	w := &wirepb.LogConfiguration{Group: c.Group, Target: c.Target}
	joining := 0
	for _, m := range c.Members {
		member := m.ToWire()
		if m.Transition == TransitionJoining {
			joining++
			member.Voter = joining == 1
		}
		w.Members = append(w.Members, member)
	}
	return w
}

// ToWire converts the member to the format used in storage and on the wire.
func (m Member) ToWire() *wirepb.LogMember {
	return &wirepb.LogMember{Id: m.ID, Name: m.Name, Address: m.Address, Voter: m.Voter, Standing: m.Standing, Transition: uint32(m.Transition)}
}

// MemberFromWire validates a member from storage or the wire and converts it; it fails with ErrMalformed.
func MemberFromWire(w *wirepb.LogMember) (Member, error) {
	if w.GetTransition() >= uint32(transitionEnd) {
		return Member{}, ErrMalformed{What: "member: transition " + formatNumber(uint64(w.GetTransition()))}
	}
	transition := Transition(w.GetTransition())
	return Member{
		ID: w.GetId(), Name: w.GetName(), Address: w.GetAddress(), Voter: w.GetVoter() || transition != TransitionNone, Transition: transition,
		Standing: w.GetStanding(),
	}, nil
}

// ConfigurationFromWire validates a configuration from storage or the wire and converts it; it fails with ErrMalformed.
func ConfigurationFromWire(w *wirepb.LogConfiguration) (Configuration, error) {
	c := Configuration{Group: w.GetGroup(), Target: w.GetTarget()}
	for _, member := range w.GetMembers() {
		m, err := MemberFromWire(member)
		if err != nil {
			return Configuration{}, err
		}
		c.Members = append(c.Members, m)
	}
	return c, nil
}

// ConfigurationEntry returns a log entry that puts a configuration into effect.
func ConfigurationEntry(index, term uint64, configuration Configuration) Entry {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(configuration.ToWire())
	if err != nil {
		panic(ErrMalformed{What: "configuration", Cause: err})
	}
	return Entry{Term: term, Index: index, Kind: EntryConfiguration, Data: data}
}

func unmarshalConfiguration(data []byte) (Configuration, error) {
	w := &wirepb.LogConfiguration{}
	if err := proto.Unmarshal(data, w); err != nil {
		return Configuration{}, ErrMalformed{What: "configuration", Cause: err}
	}
	return ConfigurationFromWire(w)
}

package control

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"burdocksaddle/wirepb"
)

// answers keeps the first results of commands for resends, bounded in number and age.
type answers struct {
	most   int
	keepMS int64
	order  []string
	held   map[string]answered
}

type answered struct {
	AtMS   int64
	Hash   uint64
	Result []byte
}

func newAnswers(most int, keepMS int64) *answers {
	return &answers{most: most, keepMS: keepMS, held: map[string]answered{}}
}

// find returns the first result under an id, and whether it was given to the same command.
func (a *answers) find(id string, hash uint64) (result *wirepb.CommandResult, same, known bool) {
	kept, known := a.held[id]
	if !known {
		return nil, false, false
	}
	result = &wirepb.CommandResult{}
	if err := proto.Unmarshal(kept.Result, result); err != nil {
		return nil, false, false
	}
	return result, kept.Hash == hash, true
}

// keep records a first result and forgets those that are too many or too old.
func (a *answers) keep(id string, hash uint64, atMS int64, result *wirepb.CommandResult) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	if err != nil {
		return
	}
	a.order = append(a.order, id)
	a.held[id] = answered{AtMS: atMS, Hash: hash, Result: data}
	a.forget(atMS)
}

func (a *answers) forget(nowMS int64) {
	for len(a.order) > 0 && (len(a.order) > a.most || a.held[a.order[0]].AtMS+a.keepMS < nowMS) {
		delete(a.held, a.order[0])
		a.order = a.order[1:]
	}
}

// answersState is the plain form of answers.
type answersState struct {
	Order []string
	Held  map[string]answered
}

func (a *answers) export() answersState {
	return answersState{Order: slices.Clone(a.order), Held: maps.Clone(a.held)}
}

func (a *answers) restore(s answersState) {
	a.order, a.held = s.Order, s.Held
	if a.held == nil {
		a.held = map[string]answered{}
	}
}

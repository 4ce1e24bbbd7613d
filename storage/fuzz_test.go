package storage_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"burdocksaddle/consensus"
	"burdocksaddle/storage"
	"burdocksaddle/wirepb"
)

// FuzzSegment opens a directory whose segment contains arbitrary bytes. Open must succeed or report corruption, and a
// second Open must return the same state.
func FuzzSegment(f *testing.F) {
	d := newFaultDisk(1)
	s, err := storage.Create(dataDir, testIdentity, storage.WithFileSystem(d.files()))
	if err != nil {
		f.Fatal(err)
	}
	if err := s.Append(newBatch(1, newEntry(1, 1, "a"), newEntry(1, 2, "b")), newBatch(2, newEntry(2, 2, "c"))); err != nil {
		f.Fatal(err)
	}
	s.Close()
	const name = "data/segment-0000000000000001"
	whole := d.visible[name].data
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add([]byte{})
	f.Add(append([]byte("x"), whole...))
	identity := d.visible["data/identity"]
	f.Fuzz(func(t *testing.T, data []byte) {
		d := newFaultDisk(1)
		d.visible[name], d.visible["data/identity"] = &faultFile{data: data}, identity
		s, state, err := storage.Open(dataDir, storage.WithFileSystem(d.files()))
		if err != nil {
			if !storage.IsErrCorrupt(err) {
				t.Fatal(err)
			}
			return
		}
		s.Close()
		_, again, err := storage.Open(dataDir, storage.WithFileSystem(d.files()))
		if err != nil || len(again.Entries) != len(state.Entries) || again.Hard != state.Hard {
			t.Fatalf("opened with %d entries, then %d, %v", len(state.Entries), len(again.Entries), err)
		}
	})
}

// FuzzMessage passes any message that can be decoded to a member. It may panic with ErrInvariantBroken only.
func FuzzMessage(f *testing.F) {
	configuration := consensus.Configuration{Group: 1, Target: 3}
	for id := range uint64(3) {
		configuration = configuration.WithMember(consensus.Member{ID: id + 1, Voter: true})
	}
	for kind := consensus.KindAppend; kind <= consensus.KindTimeoutNow; kind++ {
		m := consensus.Message{Kind: kind, Term: 2, Index: 1, LogTerm: 1, Entries: []consensus.Entry{newEntry(2, 2, "x")},
			Chunk: []byte("chunk"), LastChunk: true, Configuration: configuration}
		data, err := proto.Marshal(m.ToWire())
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, true)
		f.Add(data, false)
	}
	f.Fuzz(func(t *testing.T, data []byte, leads bool) {
		w := &wirepb.LogMessage{}
		if proto.Unmarshal(data, w) != nil {
			return
		}
		m, err := consensus.MessageFromWire(2, 1, w)
		if err != nil {
			return
		}
		c, err := consensus.New(consensus.DefaultConfig(1, 1), consensus.HardState{Term: 1}, consensus.Snapshot{},
			[]consensus.Entry{consensus.ConfigurationEntry(1, 1, configuration)})
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			if recovered := recover(); recovered != nil {
				if _, ok := recovered.(consensus.ErrInvariantBroken); !ok {
					panic(recovered)
				}
			}
		}()
		for range 20 {
			c.Tick()
			persistAll(c)
		}
		if leads {
			c.Step(consensus.Message{Kind: consensus.KindPreVoteReply, From: 2, To: 1, Term: 2})
			persistAll(c)
			c.Step(consensus.Message{Kind: consensus.KindVoteReply, From: 2, To: 1, Term: 2})
			persistAll(c)
		}
		for range 2 {
			c.Step(m)
			persistAll(c)
			c.Tick()
		}
	})
}

// persistAll reports everything that the core asks to persist as persisted.
func persistAll(c *consensus.Core) {
	for {
		r, ok := c.Ready()
		if !ok {
			return
		}
		if r.Sequence != 0 {
			c.Persisted(r.Sequence)
		}
	}
}

package storage_test

import (
	"encoding/json"
	"maps"

	"burdocksaddle/consensus"
	"burdocksaddle/storage"
)

const (
	snapshotEvery = 30
	replaceTicks  = 60
	joinTicks     = 10
)

// node is one data folder with whatever process runs on it.
type node struct {
	world    *world
	slot     int
	name     string
	standing bool
	period   int64
	id       uint64
	disk     *faultDisk

	up     bool
	epoch  int
	store  *storage.Storage
	core   *consensus.Core
	status consensus.Status
	ticks  int
	queue  []unit
	busy   bool

	applied, snapshotAt uint64
	state               map[string]string
	writes              map[uint64]*call
	reads               map[uint64]*call
	barriers            []barrier
}

// unit is one piece of work for the disk.
type unit struct {
	sequence uint64
	batch    storage.Batch
	snapshot *consensus.Snapshot
}

type barrier struct {
	index uint64
	call  *call
}

func (n *node) options() []storage.Option {
	return []storage.Option{storage.WithFileSystem(n.disk.files()), storage.WithSegmentBytes(2000)}
}

// wipe gives the node an empty folder and a new identity.
func (n *node) wipe() {
	n.stop()
	n.id = n.world.random.Uint64() | 1
	n.disk = newFaultDisk(n.world.random.Uint64())
	s, err := storage.Create(folder, storage.Identity{ID: n.id, Name: n.name}, n.options()...)
	if err != nil {
		panic(err)
	}
	s.Close()
}

func (n *node) bootstrap(configuration consensus.Configuration) {
	s, _, err := storage.Open(folder, n.options()...)
	if err != nil {
		panic(err)
	}
	err = s.Append(storage.Batch{
		Hard: &consensus.HardState{Term: 1}, Entries: []consensus.Entry{consensus.ConfigurationEntry(1, 1, configuration)},
	})
	if err != nil {
		panic(err)
	}
	s.Close()
}

func (n *node) start() {
	if n.up {
		return
	}
	store, state, err := storage.Open(folder, n.options()...)
	if err != nil {
		panic(err)
	}
	if state.Identity.ID != n.id {
		n.world.check.fail("node %s came back as %x, was %x", n.name, state.Identity.ID, n.id)
	}
	config := consensus.DefaultConfig(n.id, n.world.random.Uint64())
	config.Limits.ChunkBytes, config.Limits.TrailingEntries = 64, 5
	config.Limits.AppendBytes, config.Limits.InflightMessages = 200, 4
	config.Limits.InflightBytes, config.Limits.ApplyBytes = 600, 100
	core, err := consensus.New(config, state.Hard, state.Snapshot, state.Entries)
	if err != nil {
		panic(err)
	}
	n.store, n.core, n.up = store, core, true
	n.epoch++
	n.queue, n.busy, n.applied, n.snapshotAt = nil, false, 0, state.Snapshot.Index
	n.state, n.writes, n.reads, n.barriers = map[string]string{}, map[uint64]*call{}, map[uint64]*call{}, nil
	n.status = core.Status()
	n.process()
}

// stop ends the process at once; whatever it had not synced is at the disk's mercy.
func (n *node) stop() {
	if !n.up {
		return
	}
	n.up = false
	n.epoch++
	if len(n.queue) > 0 && n.world.chance(500) {
		// The power goes while the disk writes.
		n.disk.failIn = n.world.random.IntN(3)
		n.persistQueue(n.queue)
		n.world.counts["torn"]++
	}
	n.store.Close()
	n.disk.crash()
	for _, c := range n.writes {
		c.unknown()
	}
	for _, c := range n.reads {
		c.drop()
	}
	for _, b := range n.barriers {
		b.call.drop()
	}
}

func (n *node) tick() {
	n.world.after(n.period, n.tick)
	if !n.up {
		return
	}
	n.ticks++
	n.core.Tick()
	n.process()
	if !n.up {
		return
	}
	if n.status.Role == consensus.RoleLeader {
		if change, ok := consensus.Repair(n.core.Status(), replaceTicks); ok && n.core.ProposeChange(change) == nil {
			n.world.counts["changes"]++
			n.process()
		}
	}
	if n.ticks%joinTicks == 0 {
		n.join()
	}
}

// join asks the leader to take the node in, if it can be reached.
func (n *node) join() {
	leader := n.world.leader()
	if leader == nil || leader == n || !n.world.reaches(n, leader) {
		return
	}
	if _, known := leader.status.Configuration.Member(n.id); known {
		return
	}
	member := consensus.Member{ID: n.id, Name: n.name, Address: n.name, Standing: n.standing}
	if leader.core.ProposeChange(consensus.Change{Kind: consensus.ChangeAddLearner, Member: member}) == nil {
		n.world.counts["joins"]++
		leader.process()
	}
}

// process does what the core asks for until there is nothing more.
func (n *node) process() {
	for n.up {
		r, ok := n.core.Ready()
		if !ok {
			break
		}
		if r.Sequence != 0 {
			n.queue = append(n.queue, unit{sequence: r.Sequence, batch: storage.Batch{Install: r.Install, Hard: r.Hard, Entries: r.Entries}})
		}
		for _, m := range r.Messages {
			n.world.deliver(n, m)
		}
		if r.Restore != nil {
			n.restore(*r.Restore)
		}
		for _, e := range r.Committed {
			n.apply(e)
		}
		for _, read := range r.Reads {
			n.answerRead(read)
		}
		n.takeSnapshot()
	}
	if !n.up {
		return
	}
	n.passBarriers()
	before := n.status
	n.status = n.core.Status()
	n.world.check.status(n, before)
	n.startWrite()
}

func (n *node) startWrite() {
	if n.busy || len(n.queue) == 0 {
		return
	}
	n.busy = true
	epoch, group := n.epoch, n.queue
	n.world.after(n.world.between(1, diskDelay), func() {
		if n.epoch != epoch {
			return
		}
		n.busy = false
		n.queue = n.queue[len(group):]
		if !n.persistQueue(group) {
			n.world.counts["dead disks"]++
			n.stop()
			return
		}
		n.process()
	})
}

// persistQueue writes a group with one sync where no snapshot stands in between.
func (n *node) persistQueue(group []unit) bool {
	var batches []storage.Batch
	sequence := uint64(0)
	for _, u := range group {
		if u.snapshot == nil {
			batches, sequence = append(batches, u.batch), u.sequence
			continue
		}
		if n.store.Append(batches...) != nil || n.store.SaveSnapshot(*u.snapshot) != nil {
			return false
		}
		batches = nil
	}
	if n.store.Append(batches...) != nil {
		return false
	}
	if n.up && sequence != 0 {
		n.core.Persisted(sequence)
	}
	return true
}

func (n *node) restore(s consensus.Snapshot) {
	n.applied, n.snapshotAt, n.state = s.Index, s.Index, map[string]string{}
	if len(s.State) > 0 {
		if err := json.Unmarshal(s.State, &n.state); err != nil {
			panic(err)
		}
	}
	n.world.counts["restores"]++
	n.world.check.restored(n, s)
	for index, c := range n.writes {
		if index <= s.Index {
			c.unknown()
			delete(n.writes, index)
		}
	}
}

func (n *node) apply(e consensus.Entry) {
	n.world.check.applied(n, e)
	n.applied = e.Index
	output := ""
	if e.Kind == consensus.EntryCommand {
		output = applyCommand(n.state, e.Data)
	}
	n.world.check.stateAt(n)
	c := n.writes[e.Index]
	if c == nil {
		return
	}
	delete(n.writes, e.Index)
	if c.term == e.Term {
		c.answer(output)
	} else {
		c.never()
	}
}

func (n *node) answerRead(r consensus.ReadState) {
	c := n.reads[r.Token]
	if c == nil {
		return
	}
	delete(n.reads, r.Token)
	if r.Failed {
		c.drop()
		return
	}
	n.barriers = append(n.barriers, barrier{r.Index, c})
}

func (n *node) passBarriers() {
	var waiting []barrier
	for _, b := range n.barriers {
		if n.applied < b.index {
			waiting = append(waiting, b)
			continue
		}
		b.call.answer(n.state[b.call.input.Key])
	}
	n.barriers = waiting
}

func (n *node) takeSnapshot() {
	if n.applied < n.snapshotAt+snapshotEvery {
		return
	}
	n.snapshotAt = n.applied
	s, ok := n.core.SnapshotAt(n.applied, marshalState(n.state))
	if !ok {
		return
	}
	n.core.Compact(s)
	n.queue = append(n.queue, unit{snapshot: &s})
	n.world.counts["snapshots"]++
}

func marshalState(state map[string]string) []byte {
	data, err := json.Marshal(maps.Clone(state))
	if err != nil {
		panic(err)
	}
	return data
}

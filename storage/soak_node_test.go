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
	maxLeaveTicks = 60
)

// node is a data directory and the process that runs on it, if any.
type node struct {
	sim          *simulation
	slot         int
	name         string
	standing     bool
	tickInterval int64
	id           uint64
	disk         *faultDisk

	up      bool
	epoch   int
	store   *storage.Storage
	core    *consensus.Core
	status  consensus.Status
	ticks   int
	queue   []diskWrite
	writing bool

	applied, snapshotAt uint64
	state               map[string]string
	writes              map[uint64]*call
	reads               map[uint64]*call
	pendingReads        []pendingRead

	// left is called once a node that leaves has stopped, which it does when its ticks reach leaveBy at the latest.
	left    func()
	leaveBy int
	// generation counts the machines that took this node's place.
	generation int
}

// diskWrite is one queued write to the disk.
type diskWrite struct {
	sequence uint64
	batch    storage.Batch
	snapshot *consensus.Snapshot
}

type pendingRead struct {
	index uint64
	call  *call
}

func (n *node) options() []storage.Option {
	return []storage.Option{storage.WithFileSystem(n.disk.files()), storage.WithSegmentBytes(2000)}
}

// wipe gives the node an empty data directory and a new identity.
func (n *node) wipe() {
	n.crash()
	n.id = n.sim.random.Uint64() | 1
	n.disk = newFaultDisk(n.sim.random.Uint64())
	s, err := storage.Create(dataDir, storage.Identity{ID: n.id, Name: n.name}, n.options()...)
	if err != nil {
		panic(err)
	}
	s.Close()
}

func (n *node) bootstrap(configuration consensus.Configuration) {
	s, _, err := storage.Open(dataDir, n.options()...)
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
	store, state, err := storage.Open(dataDir, n.options()...)
	if err != nil {
		panic(err)
	}
	if state.Identity.ID != n.id {
		n.sim.check.fail("node %s restarted with identity %x, want %x", n.name, state.Identity.ID, n.id)
	}
	config := consensus.DefaultConfig(n.id, n.sim.random.Uint64())
	config.Limits.ChunkBytes, config.Limits.TrailingEntries = 64, 5
	config.Limits.AppendBytes, config.Limits.InflightMessages = 200, 4
	config.Limits.InflightBytes, config.Limits.ApplyBytes = 600, 100
	core, err := consensus.New(config, state.Hard, state.Snapshot, state.Entries)
	if err != nil {
		panic(err)
	}
	n.store, n.core, n.up = store, core, true
	n.epoch++
	n.queue, n.writing, n.applied, n.snapshotAt = nil, false, 0, state.Snapshot.Index
	n.state, n.writes, n.reads, n.pendingReads = map[string]string{}, map[uint64]*call{}, map[uint64]*call{}, nil
	n.status = core.Status()
	n.process()
}

// crash ends the process at once; the disk loses power and may lose what was not synced.
func (n *node) crash() { n.end(n.disk.crash) }

// kill ends the process at once; its files stay as they are.
func (n *node) kill() { n.end(n.disk.clearFaults) }

func (n *node) end(afterwards func()) {
	if !n.up {
		return
	}
	n.up, n.left = false, nil
	n.epoch++
	if len(n.queue) > 0 && n.sim.chance(500) {
		// The power fails while the disk is writing.
		n.disk.failIn = n.sim.random.IntN(3)
		n.persistQueue(n.queue)
		n.sim.counts["crashes during writes"]++
	}
	n.store.Close()
	afterwards()
	for _, c := range n.writes {
		c.unknown()
	}
	for _, c := range n.reads {
		c.discard()
	}
	for _, b := range n.pendingReads {
		b.call.discard()
	}
}

func (n *node) tick() {
	n.sim.after(n.tickInterval, n.tick)
	if !n.up {
		return
	}
	n.ticks++
	n.core.Tick()
	n.process()
	n.stopOnceLeft()
	if !n.up {
		return
	}
	if n.status.Role == consensus.RoleLeader {
		if change, ok := consensus.NextRepair(n.core.Status(), replaceTicks); ok && n.core.ProposeChange(change) == nil {
			n.sim.counts["changes"]++
			n.sim.loseDuringChange()
			n.process()
		}
		if to, ok := consensus.NextHandOver(n.core.Status()); ok && n.core.Transfer(to) == nil {
			n.sim.counts["hand-overs"]++
			n.process()
		}
		n.core.AnswerDepartures()
		n.process()
	}
	if n.ticks%joinTicks == 0 {
		n.join()
	}
}

// leave has the node stop once its group allows it, and calls afterwards then.
func (n *node) leave(afterwards func()) {
	if !n.up || n.left != nil {
		return
	}
	n.sim.counts["departures"]++
	n.left, n.leaveBy = afterwards, n.ticks+maxLeaveTicks
	n.core.Leave()
	n.process()
}

func (n *node) stopOnceLeft() {
	if !n.up || n.left == nil {
		return
	}
	afterwards, status := n.left, n.core.Status()
	alone := status.Irreplaceable() && !status.MayHandOver()
	switch {
	case status.Departure == consensus.DepartureReleased:
		n.sim.counts["departures without a vote"]++
	case status.Departure != consensus.DepartureIrreplaceable && !alone && n.ticks < n.leaveBy:
		return
	}
	n.kill()
	afterwards()
}

// join asks the leader to add the node, if the leader is reachable.
func (n *node) join() {
	leader := n.sim.leader()
	if n.left != nil || leader == nil || leader == n || !n.sim.connected(n, leader) {
		return
	}
	if _, known := leader.status.Configuration.Member(n.id); known {
		return
	}
	member := consensus.Member{ID: n.id, Name: n.name, Address: n.name, Standing: n.standing}
	if leader.core.ProposeChange(consensus.Change{Kind: consensus.ChangeAddLearner, Member: member}) == nil {
		n.sim.counts["joins"]++
		leader.process()
	}
}

// process handles the output of the core until there is none left.
func (n *node) process() {
	for n.up {
		r, ok := n.core.Ready()
		if !ok {
			break
		}
		if r.Sequence != 0 {
			n.queue = append(n.queue, diskWrite{sequence: r.Sequence, batch: storage.Batch{Install: r.Install, Hard: r.Hard, Entries: r.Entries}})
		}
		for _, m := range r.Messages {
			n.sim.send(n, m)
		}
		if r.Restore != nil {
			n.restore(*r.Restore)
		}
		for _, e := range r.Committed {
			n.apply(e)
		}
		for _, read := range r.Reads {
			n.confirmRead(read)
		}
		n.takeSnapshot()
	}
	if !n.up {
		return
	}
	n.completeReads()
	before := n.status
	n.status = n.core.Status()
	n.sim.check.checkStatus(n, before)
	n.startWrite()
}

func (n *node) startWrite() {
	if n.writing || len(n.queue) == 0 {
		return
	}
	n.writing = true
	epoch, group := n.epoch, n.queue
	n.sim.after(n.sim.between(1, maxDiskDelay), func() {
		if n.epoch != epoch {
			return
		}
		left := n.persistQueue(group)
		n.queue = n.queue[len(group)-len(left):]
		if len(left) > 0 {
			n.sim.counts["disk failures"]++
			n.recoverDisk(epoch)
			return
		}
		n.writing = false
		n.process()
	})
}

// recoverDisk tries to recover the storage until it succeeds or the process ends.
func (n *node) recoverDisk(epoch int) {
	n.sim.after(n.sim.between(1, 2*maxDiskDelay), func() {
		if n.epoch != epoch {
			return
		}
		if n.store.Recover() != nil {
			n.recoverDisk(epoch)
			return
		}
		n.sim.counts["disk recoveries"]++
		n.writing = false
		n.process()
	})
}

// persistQueue performs queued writes, with one sync for consecutive batches without a snapshot in between, and returns those that are left
// after a failure.
func (n *node) persistQueue(group []diskWrite) (left []diskWrite) {
	for len(group) > 0 {
		part := group[:1]
		for len(part) < len(group) && part[0].snapshot == nil && group[len(part)].snapshot == nil && group[len(part)].batch.Install == nil {
			part = group[:len(part)+1]
		}
		if n.persist(part) != nil {
			return group
		}
		if sequence := part[len(part)-1].sequence; n.up && sequence != 0 {
			n.core.Persisted(sequence)
		}
		group = group[len(part):]
	}
	return nil
}

func (n *node) persist(part []diskWrite) error {
	if part[0].snapshot != nil {
		return n.store.SaveSnapshot(*part[0].snapshot)
	}
	var batches []storage.Batch
	for _, w := range part {
		batches = append(batches, w.batch)
	}
	return n.store.Append(batches...)
}

func (n *node) restore(s consensus.Snapshot) {
	n.applied, n.snapshotAt, n.state = s.Index, s.Index, map[string]string{}
	if len(s.State) > 0 {
		if err := json.Unmarshal(s.State, &n.state); err != nil {
			panic(err)
		}
	}
	n.sim.counts["restores"]++
	n.sim.check.checkRestored(n, s)
	for index, c := range n.writes {
		if index <= s.Index {
			c.unknown()
			delete(n.writes, index)
		}
	}
}

func (n *node) apply(e consensus.Entry) {
	n.sim.check.checkApplied(n, e)
	n.applied = e.Index
	output := ""
	if e.Kind == consensus.EntryCommand {
		output = applyCommand(n.state, e.Data)
	}
	n.sim.check.checkState(n)
	c := n.writes[e.Index]
	if c == nil {
		return
	}
	delete(n.writes, e.Index)
	if c.term == e.Term {
		c.complete(output)
	} else {
		c.notCommitted()
	}
}

func (n *node) confirmRead(r consensus.ReadState) {
	c := n.reads[r.Token]
	if c == nil {
		return
	}
	delete(n.reads, r.Token)
	if r.Failed {
		c.discard()
		return
	}
	n.pendingReads = append(n.pendingReads, pendingRead{r.Index, c})
}

func (n *node) completeReads() {
	var waiting []pendingRead
	for _, b := range n.pendingReads {
		if n.applied < b.index {
			waiting = append(waiting, b)
			continue
		}
		b.call.complete(n.state[b.call.input.Key])
	}
	n.pendingReads = waiting
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
	n.queue = append(n.queue, diskWrite{snapshot: &s})
	n.sim.counts["snapshots"]++
}

func marshalState(state map[string]string) []byte {
	data, err := json.Marshal(maps.Clone(state))
	if err != nil {
		panic(err)
	}
	return data
}

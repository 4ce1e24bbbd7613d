package registers

// versionedValue is the value of a register with its logical timestamp.
type versionedValue struct {
	stamp, writer int
	value         string
}

func (t versionedValue) newer(other versionedValue) bool {
	return t.stamp > other.stamp || t.stamp == other.stamp && t.writer > other.writer
}

// abdRegister is an ABD register that is stored on all replicas.
type abdRegister struct {
	*network
	values [replicas]versionedValue
	size   int
}

// query queries all replicas and calls done with the newest value of a majority and whether that majority agreed.
func (r *abdRegister) query(client, size int, done func(newest versionedValue, agreed bool)) {
	var got []versionedValue
	for i := range replicas {
		r.send(client, i, 0, func() {
			seen := r.values[i]
			r.send(i, client, size, func() {
				got = append(got, seen)
				if len(got) != majority {
					return
				}
				newest, agreed := got[0], got[0] == got[1]
				if got[1].newer(newest) {
					newest = got[1]
				}
				done(newest, agreed)
			})
		})
	}
}

func (r *abdRegister) store(client int, value versionedValue, done func()) {
	acknowledged := 0
	for i := range replicas {
		r.send(client, i, r.size, func() {
			if value.newer(r.values[i]) {
				r.values[i] = value
			}
			r.send(i, client, 0, func() {
				if acknowledged++; acknowledged == majority {
					done()
				}
			})
		})
	}
}

func (r *abdRegister) read(client int, optimistic bool, done func(versionedValue)) {
	r.query(client, r.size, func(newest versionedValue, agreed bool) {
		if optimistic && agreed {
			done(newest)
			return
		}
		r.store(client, newest, func() { done(newest) })
	})
}

func (r *abdRegister) write(client int, value string, done func()) {
	r.query(client, 0, func(newest versionedValue, _ bool) {
		r.store(client, versionedValue{stamp: newest.stamp + 1, writer: client, value: value}, done)
	})
}

// replicatedLog is the log with replica 0 as leader, or replica 1 after an election if replica 0 is down.
type replicatedLog struct {
	*network
	leader  int
	claimed string
}

func newReplicatedLog(l *network) *replicatedLog {
	r := &replicatedLog{network: l}
	if l.down[0] {
		r.leader = 1
	}
	return r
}

// withLeader calls run immediately, or after an election if the leader was lost.
func (r *replicatedLog) withLeader(run func()) {
	if r.leader == 0 {
		run()
		return
	}
	r.after(electionTime, run)
}

// quorumRound waits until the leader has acknowledgements of a majority, including itself.
func (r *replicatedLog) quorumRound(size int, done func()) {
	acks := 1
	for i := range replicas {
		if i == r.leader {
			continue
		}
		r.send(r.leader, i, size, func() {
			r.send(i, r.leader, 0, func() {
				if acks++; acks == majority {
					done()
				}
			})
		})
	}
}

// read is a read-index read at a member in the client's data centre.
func (r *replicatedLog) read(client, member, size int, done func()) {
	answer := func() { r.send(member, client, size, done) }
	r.send(client, member, 0, func() {
		r.withLeader(func() {
			if member == r.leader {
				r.quorumRound(0, answer)
				return
			}
			r.send(member, r.leader, 0, func() { r.quorumRound(0, func() { r.send(r.leader, member, 0, answer) }) })
		})
	})
}

// claim commits a claim through the leader. The first claim in the log wins.
func (r *replicatedLog) claim(client int, done func(won bool)) {
	r.withLeader(func() {
		r.send(client, r.leader, claimBytes, func() {
			won := r.claimed == ""
			if won {
				r.claimed = "held"
			}
			r.quorumRound(claimBytes, func() { r.send(r.leader, client, headerBytes, func() { done(won) }) })
		})
	})
}

package consensus_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/consensus"
)

// TestRepairChanges checks which change follows from the state of the members. A silent voter is replaced by one change, so that the
// quorum neither grows nor depends on fewer members meanwhile.
func TestRepairChanges(t *testing.T) {
	voter := func(id uint64, name string, silent uint64) consensus.PeerStatus {
		return consensus.PeerStatus{Member: consensus.Member{ID: id, Name: name, Voter: true}, SilentTicks: silent, CaughtUp: silent == 0}
	}
	stalled := func(id uint64, name string, ticks uint64) consensus.PeerStatus {
		return consensus.PeerStatus{Member: consensus.Member{ID: id, Name: name, Voter: true}, StalledTicks: ticks}
	}
	learner := func(id uint64, name string, standing, caughtUp bool) consensus.PeerStatus {
		return consensus.PeerStatus{Member: consensus.Member{ID: id, Name: name, Standing: standing}, CaughtUp: caughtUp}
	}
	replace, remove, promote, pair := consensus.ChangeReplace, consensus.ChangeRemove, consensus.ChangePromote, consensus.ChangePromotePair
	tests := map[string]struct {
		peers         []consensus.PeerStatus
		kind          consensus.ChangeKind
		id, successor uint64
	}{
		"all voters are live":               {[]consensus.PeerStatus{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", 0), learner(4, "d", true, true)}, 0, 0, 0},
		"voter silent for too short":        {[]consensus.PeerStatus{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", 99), learner(4, "d", true, true)}, 0, 0, 0},
		"silent voter without a learner":    {[]consensus.PeerStatus{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", 100)}, 0, 0, 0},
		"silent voter, learner lags behind": {[]consensus.PeerStatus{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", 100), learner(4, "d", true, false)}, 0, 0, 0},
		"silent voter is replaced at once":  {[]consensus.PeerStatus{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", 100), learner(4, "d", true, true)}, replace, 3, 4},
		"learner fills an empty place":      {[]consensus.PeerStatus{voter(1, "a", 0), voter(2, "b", 0), learner(4, "d", true, true)}, promote, 4, 0},
		"rejoined member precedes standby":  {[]consensus.PeerStatus{voter(1, "a", 0), voter(2, "b", 0), learner(4, "d", true, true), learner(5, "c", false, true)}, promote, 5, 0},
		"wiped member replaces itself":      {[]consensus.PeerStatus{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", 20), learner(5, "c", false, true)}, replace, 3, 5},
		"former voter replaces another":     {[]consensus.PeerStatus{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", 100), learner(4, "d", false, true)}, replace, 3, 4},
		"stalled voter is replaced":         {[]consensus.PeerStatus{voter(1, "a", 0), voter(2, "b", 0), stalled(3, "c", 100), learner(4, "d", true, true)}, replace, 3, 4},
		"voter stalled for too short":       {[]consensus.PeerStatus{voter(1, "a", 0), voter(2, "b", 0), stalled(3, "c", 99), learner(4, "d", true, true)}, 0, 0, 0},
		"no removal without a quorum left":  {[]consensus.PeerStatus{voter(1, "a", 0), voter(2, "b", 6), voter(3, "c", 100), learner(4, "d", true, true)}, 0, 0, 0},
		"no removal while others stall":     {[]consensus.PeerStatus{voter(1, "a", 0), stalled(2, "b", 6), voter(3, "c", 100), learner(4, "d", true, true)}, 0, 0, 0},
		"promotion restores the quorum":     {[]consensus.PeerStatus{voter(1, "a", 0), voter(2, "b", 100), learner(4, "d", true, true)}, promote, 4, 0},
		"lost surplus voter is removed":     {[]consensus.PeerStatus{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", 100), voter(4, "d", 0)}, remove, 3, 0},
		"one voter waits for two learners":  {[]consensus.PeerStatus{voter(1, "a", 0), learner(4, "d", false, true)}, 0, 0, 0},
		"one voter grows by two":            {[]consensus.PeerStatus{voter(1, "a", 0), learner(4, "d", true, true), learner(5, "e", false, true), learner(6, "f", false, true)}, pair, 5, 6},
		"two live members of one name":      {[]consensus.PeerStatus{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", 0), learner(5, "c", false, true)}, 0, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			status := consensus.Status{ID: 1, Role: consensus.RoleLeader, ConfigurationCommitted: true, Peers: test.peers}
			status.Configuration.Target = 3
			for _, p := range test.peers {
				status.Configuration.Members = append(status.Configuration.Members, p.Member)
			}
			change, ok := consensus.NextRepair(status, 100)
			if ok != (test.kind != 0) {
				t.Fatalf("change %+v, %v", change, ok)
			}
			if diff := cmp.Diff([]uint64{uint64(test.kind), test.id, test.successor}, []uint64{uint64(change.Kind), change.Member.ID, change.Successor.ID}); ok && diff != "" {
				t.Error(diff)
			}
			status.ConfigurationCommitted = false
			if _, ok := consensus.NextRepair(status, 100); ok {
				t.Error("returned a change before the previous one was committed")
			}
		})
	}
}

package quorum_test

import (
	"os"
	"testing"
	"time"
)

// TestMemberRestartedBeforeItsGroupStarts guards against a group that is never started as one of its first members is restarted before, with settings
// that no longer tell of the first start.
func TestMemberRestartedBeforeItsGroupStarts(t *testing.T) {
	for name, restarted := range map[string]int{"the one that starts the group": 0, "another one": 2} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				configs := testConfigs(t, 3, 0)
				p := start(t, configs[restarted])
				time.Sleep(3 * testTick)
				p.stop(t)
				configs[restarted].JoinOnly = true
				propose(t, startAll(t, configs), "a")
			})
		})
	}
}

// TestFirstMemberWithoutItsDiskStartsNoGroup guards against a second group: a first member that has lost its disk may only join.
func TestFirstMemberWithoutItsDiskStartsNoGroup(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		configs := testConfigs(t, 3, 0)
		p := start(t, configs[0])
		time.Sleep(3 * testTick)
		p.stop(t)
		if err := os.RemoveAll(configs[0].DataDir); err != nil {
			t.Fatal(err)
		}
		configs[0].JoinOnly = true
		processes := startAll(t, configs)
		time.Sleep(100 * testTick)
		for _, p := range processes {
			if members := p.Members(); len(members) > 0 {
				t.Errorf("%s is in a group of %d members", p.config.Name, len(members))
			}
		}
	})
}

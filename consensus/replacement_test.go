package consensus_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var replacementPlays = flag.Int("replacement-plays", 150, "losses played of each kind of replacement, chosen at random; 0 for all of them")

// replacement is a way in which a voter is replaced.
type replacement struct {
	learners int
	// late learners start as the replacement begins, and the group grows by them.
	late int
	// begin begins the replacement of one or more voters, the first of which leads.
	begin func(m []*machine)
	// gone are the voters that never come back, and have a successor. wiped are those that lose their disk.
	gone, wiped []int
}

var replacements = map[string]replacement{
	"a voter that stands still":                       {learners: 1, begin: func(m []*machine) { m[1].pause() }},
	"a voter that is gone":                            {learners: 1, begin: func(m []*machine) { m[1].remove() }, gone: []int{1}},
	"a voter that stops and is back with its disk":    {learners: 1, begin: func(m []*machine) { m[1].leave((*machine).kill) }},
	"a voter that stops for good":                     {learners: 1, begin: func(m []*machine) { m[1].leave((*machine).remove) }, gone: []int{1}},
	"a leader that stops and is back with its disk":   {learners: 1, begin: func(m []*machine) { m[0].leave((*machine).kill) }},
	"a voter that stops and loses its disk":           {begin: func(m []*machine) { m[1].leave((*machine).loseDisk) }, wiped: []int{1}},
	"a voter that loses its disk":                     {begin: func(m []*machine) { m[1].loseDisk() }, wiped: []int{1}},
	"a voter that stops beside one that stands still": {learners: 2, begin: func(m []*machine) { m[2].pause(); m[1].leave((*machine).kill) }},
	"growth by two":                                   {late: 2, begin: func(m []*machine) { m[len(m)-2].removed, m[len(m)-1].removed = false, false }},
	"all voters stop": {learners: 2, begin: func(m []*machine) {
		m[1].leave((*machine).kill)
		m[2].leave((*machine).kill)
		m[0].leave((*machine).kill)
	}},
}

// start starts a group in which the replacement has begun. The leader is the first of its machines, the voters come before the learners.
func (r replacement) start(t *testing.T, voters int, seed uint64) *machineGroup {
	g := newMachineGroup(t, voters-r.late, voters, r.learners, r.late, seed)
	at := slices.Index(g.machines, g.leader())
	g.machines[0], g.machines[at] = g.machines[at], g.machines[0]
	r.begin(g.machines)
	return g
}

// window returns the events between which an undisturbed replacement goes on: from shortly before the first change until the voters are
// replaced and the change is committed.
func (r replacement) window(t *testing.T, voters int, seed uint64) (from, to int) {
	const before = 6
	g := r.start(t, voters, seed)
	ids := votersOfLeader(g)
	eventsAt := map[int]int{}
	changed := -1
	for end := g.tick + 2*pauseTicks; g.tick < end; g.step() {
		if eventsAt[g.tick] == 0 {
			eventsAt[g.tick] = g.events
		}
		leader := g.leader()
		if leader == nil {
			continue
		}
		s := leader.status()
		if changed < 0 && !cmp.Equal(ids, s.Configuration.Voters()) {
			changed = g.tick
		}
		if !s.ConfigurationCommitted || cmp.Equal(ids, s.Configuration.Voters()) {
			to = 0
		} else if to == 0 {
			to = g.events
		}
	}
	if to == 0 {
		t.Fatal("no voter is replaced")
	}
	for tick := changed - before; ; tick++ {
		if eventsAt[tick] != 0 {
			return eventsAt[tick], to + before
		}
	}
}

func votersOfLeader(g *machineGroup) []uint64 { return g.machines[0].status().Configuration.Voters() }

// disks returns the sets of machines that may lose their disks at the same moment of the replacement: as many as the group bears, of the
// voters together with those that are gone.
func (r replacement) disks(voters int) [][]int {
	bears, machines := voters/2, voters+r.learners
	first := voters - r.late
	var sets [][]int
	for set := range 1 << machines {
		var members []int
		lost, lostVoters := 0, 0
		for i := range machines {
			loses, gone, wiped := set>>i&1 == 1, slices.Contains(r.gone, i), slices.Contains(r.wiped, i)
			if loses {
				members = append(members, i)
			}
			if loses || wiped {
				lost++
			}
			if i < first && (loses || gone || wiped) {
				lostVoters++
			}
			if loses && gone {
				lost = machines // it is not there any more
			}
		}
		if lost <= bears && lostVoters <= first/2 {
			sets = append(sets, members)
		}
	}
	return sets
}

// TestNoLossDuringAReplacementEndsTheGroup guards against changes of the voters that end the group, or lose what it acknowledged, if disks
// are lost meanwhile: at any event of a replacement any disks that the group bears are lost,
// unnoticed, beside any machine that is killed or stands still.
func TestNoLossDuringAReplacementEndsTheGroup(t *testing.T) {
	for name, r := range replacements {
		for _, voters := range []int{3, 5} {
			t.Run(fmt.Sprint(name, ", of ", voters), func(t *testing.T) {
				t.Parallel()
				plays := 0
				for seed := range uint64(2) {
					plays += r.playLosses(t, voters, seed)
				}
				t.Log(plays, "plays")
			})
		}
	}
}

// loss is what happens at an event: machines lose their disks, and another one is killed if other is even, or else suspended; -1 is none.
type loss struct {
	at    int
	disks []int
	other int
}

// playLosses plays as many losses as replacementPlays says, and returns their number.
func (r replacement) playLosses(t *testing.T, voters int, seed uint64) int {
	from, to := r.window(t, voters, seed)
	var losses []loss
	for _, disks := range r.disks(voters) {
		for other := -1; other < 2*(voters+r.learners); other++ {
			for at := from; at <= to; at++ {
				losses = append(losses, loss{at, disks, other})
			}
		}
	}
	plays := *replacementPlays
	if raceEnabled {
		plays /= 5
	}
	if plays > 0 && plays < len(losses) {
		random := rand.New(rand.NewPCG(seed, uint64(len(losses))))
		random.Shuffle(len(losses), func(i, j int) { losses[i], losses[j] = losses[j], losses[i] })
		losses = losses[:plays]
	}
	failed := 0
	for _, l := range losses {
		if failure := r.play(t, voters, seed, l); failure != "" {
			if failed++; failed <= 3 {
				t.Errorf("seed %d, event %d of %d to %d, disks %v, beside %d: %s", seed, l.at, from, to, l.disks, l.other, failure)
			}
		}
	}
	if failed > 0 {
		t.Errorf("seed %d: %d of %d plays failed", seed, failed, len(losses))
	}
	return len(losses)
}

// play returns how the group failed to recover from a loss.
func (r replacement) play(t *testing.T, voters int, seed uint64, l loss) string {
	g := r.start(t, voters, seed)
	for g.events < l.at {
		g.step()
	}
	for _, i := range l.disks {
		g.machines[i].loseDisk()
	}
	if i := l.other / 2; l.other >= 0 && !slices.Contains(l.disks, i) && g.machines[i].runs() {
		if l.other%2 == 0 {
			g.machines[i].kill()
		} else {
			g.machines[i].pause()
		}
	}
	for end := g.tick + pauseTicks + restartTicks; g.tick < end; {
		g.nextTick()
	}
	return g.checkRecovered()
}

package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"burdocksaddle/team"
)

// newLoadSim returns a simulation of 24 gateways with uneven weights and teams whose load is below their limits.
func newLoadSim(seed uint64) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 2)), bounds: simBounds, now: simStart, waitTime: 300 * time.Millisecond}
	for _, t := range []struct{ rate, burst, load, size float64 }{
		{254_441, 254_441, 0.7, 1540}, {60_000, 60_000, 0.6, 1540}, {30_000, 60_000, 0.5, 700}, {100, 50, 0.6, 1},
	} {
		limit := team.Cap{PerSecond: t.rate, Burst: t.burst, CountsTokens: true}
		s.teams = append(s.teams, &simTeam{caps: []simCap{{simStart, limit}}, load: t.load, size: t.size})
	}
	total := 0.0
	for i := range 24 {
		total += 1 / float64(i+1)
	}
	for i := range 24 {
		s.gateways = append(s.gateways, s.newGateway(1/float64(i+1)/total))
	}
	return s
}

// TestNoRejectionsBelowTheLimit guards against requests that are rejected for the limit of a team that is below it: none without faults, and
// at most 1 in 100 in a minute with an election of 2 s.
func TestNoRejectionsBelowTheLimit(t *testing.T) {
	const length = 60 * time.Second
	tests := map[string]struct {
		election   time.Duration
		mostOf1000 int
	}{"no faults": {0, 0}, "an election of 2 s": {2 * time.Second, 10}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				s := newLoadSim(seed)
				s.addLeader(-10*time.Second, 30*time.Second)
				s.addLeader(30*time.Second+test.election, length+time.Second)
				if test.election == 0 {
					s.leaders = s.leaders[:1]
					s.leaders[0].to = simStart.Add(2 * length)
				}
				for s.now.Before(simStart.Add(length)) {
					s.step()
				}
				t.Logf("seed %d: %d of %d requests rejected, by team %v of %v", seed, s.rejected, s.arrived, s.rejectedOf, s.arrivedOf)
				for n := range s.teams {
					if s.rejectedOf[n]*1000 > s.arrivedOf[n]*test.mostOf1000 {
						t.Errorf("seed %d, team %d: %d of %d requests rejected, at most %d of 1000 may be", seed, n, s.rejectedOf[n], s.arrivedOf[n], test.mostOf1000)
					}
				}
				if v := s.violation(); v != "" {
					t.Error(v)
				}
			}
		})
	}
}

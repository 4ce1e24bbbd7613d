package placement

import (
	"math"

	"burdocksaddle/fleet"
)

// Source is where an endpoint finds a checkpoint.
type Source string

// Places of a checkpoint, the fastest first.
const (
	Memory Source = "Memory"
	Disk   Source = "Disk"
	Remote Source = "Remote"
)

const (
	// Speeds in MB a second that hold until loads were measured.
	remoteSpeed = 1000
	diskSpeed   = 2500
	memorySpeed = 10_000
	// startSeconds is what a load takes beside reading its checkpoint.
	startSeconds = 1.5
	// newShare is the weight of a new measurement.
	newShare = 0.3
	// A load slower than slowShare of the best speed costs a slot; as fast as fastShare gives one back.
	slowShare = 0.6
	fastShare = 0.85
	bestDecay = 0.995
)

// Store is the leader's picture of the weight store: a token bucket that
// starts empty, slots that follow what is measured, and speeds by source.
type Store struct {
	rate     float64
	limit    int
	slots    int
	tokens   float64
	filledMS int64
	speeds   map[Source]float64
	// measured tells which speeds rest on a load and not on a first guess.
	measured map[Source]bool
	best     float64
}

// NewStore makes a Store for loads a second and loads at once at full speed.
func NewStore(rate float64, slots int) *Store {
	return &Store{
		rate: rate, limit: slots, slots: slots, best: remoteSpeed, filledMS: -1, measured: map[Source]bool{},
		speeds: map[Source]float64{Remote: remoteSpeed, Disk: diskSpeed, Memory: memorySpeed},
	}
}

// fill adds the tokens of the time that passed; the bucket holds one second's worth, at least one.
func (s *Store) fill(nowMS int64) {
	if s.filledMS >= 0 && nowMS > s.filledMS {
		s.tokens = min(max(1, s.rate), s.tokens+s.rate*float64(nowMS-s.filledMS)/1000)
	}
	s.filledMS = max(nowMS, s.filledMS)
}

// take uses a token and a slot for a load from the store, or says that there is none.
func (s *Store) take(inFlight int) bool {
	if s.tokens < 1 || inFlight >= s.slots {
		return false
	}
	s.tokens--
	return true
}

// Slots returns how many loads from the store run at once by what was measured.
func (s *Store) Slots() int { return s.slots }

// Seconds estimates a load without its wait for the store.
func (s *Store) Seconds(checkpointMB uint64, source Source) float64 {
	return startSeconds + float64(checkpointMB)/s.speeds[source]
}

// Measured takes in how long a load took, with so many from the store at once.
func (s *Store) Measured(checkpointMB uint64, source Source, seconds float64, atOnce int) {
	if seconds <= 0 || checkpointMB == 0 {
		return
	}
	speed := float64(checkpointMB) / max(seconds-startSeconds, seconds/10)
	if !s.measured[source] {
		s.speeds[source], s.measured[source] = speed, true
		if source == Remote {
			s.best = speed
		}
	}
	s.speeds[source] += newShare * (speed - s.speeds[source])
	if source != Remote {
		return
	}
	s.best = max(s.best*bestDecay, speed)
	switch {
	case speed < slowShare*s.best && atOnce > 1:
		s.slots = max(1, min(s.slots, atOnce)-1)
	case speed > fastShare*s.best && atOnce >= s.slots:
		s.slots = min(s.limit, s.slots+1)
	}
}

// inFlight counts the loads under way from the store; a new leader finds them in the fleet.
func inFlight(f *fleet.Fleet) int {
	count := 0
	for _, replica := range f.PendingReplicas() {
		if replica.Source == string(Remote) || replica.Source == "" {
			count++
		}
	}
	return count
}

// waitSeconds estimates how long a load from the store waits behind others.
func (s *Store) waitSeconds(ahead int, checkpointMB uint64) float64 {
	if s.slots == 0 {
		return math.Inf(1)
	}
	rounds := float64(ahead) / float64(s.slots)
	return max(rounds*s.Seconds(checkpointMB, Remote)/2, float64(ahead)/s.rate)
}

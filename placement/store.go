package placement

import (
	"math"

	"burdocksaddle/fleet"
)

// Source is where an endpoint loads a checkpoint from.
type Source string

// Sources of a checkpoint, the fastest first.
const (
	Memory Source = "Memory"
	Disk   Source = "Disk"
	Remote Source = "Remote"
)

const (
	// Speeds in MB/s that are assumed until loads have been measured.
	initialRemoteSpeed = 1000
	initialDiskSpeed   = 2500
	initialMemorySpeed = 10_000
	// loadOverheadSeconds is the part of a load's duration that isn't spent reading the checkpoint.
	loadOverheadSeconds = 1.5
	// measurementWeight is the weight of a new measurement in the moving average.
	measurementWeight = 0.3
	// A load below slowSpeedRatio of the best speed removes a slot; a load above fastSpeedRatio adds one.
	slowSpeedRatio = 0.6
	fastSpeedRatio = 0.85
	bestSpeedDecay = 0.995
)

// Store is the leader's model of the weight store. It has a token bucket that
// starts empty, a number of slots that follows the measured speeds, and an
// estimated speed by source.
type Store struct {
	rate       float64
	maxSlots   int
	slots      int
	tokens     float64
	refilledMS int64
	speeds     map[Source]float64
	// measured tells which speeds are based on a measured load rather than on the initial value.
	measured  map[Source]bool
	bestSpeed float64
}

// NewStore returns a Store with the given loads per second and concurrent loads at full speed.
func NewStore(rate float64, slots int) *Store {
	return &Store{
		rate: rate, maxSlots: slots, slots: slots, bestSpeed: initialRemoteSpeed, refilledMS: -1, measured: map[Source]bool{},
		speeds: map[Source]float64{Remote: initialRemoteSpeed, Disk: initialDiskSpeed, Memory: initialMemorySpeed},
	}
}

// refill adds the tokens for the elapsed time. The bucket holds one second's worth, and at least one token.
func (s *Store) refill(nowMS int64) {
	if s.refilledMS >= 0 && nowMS > s.refilledMS {
		s.tokens = min(max(1, s.rate), s.tokens+s.rate*float64(nowMS-s.refilledMS)/1000)
	}
	s.refilledMS = max(nowMS, s.refilledMS)
}

// acquire takes a token and a slot for a load from the store and reports whether both were available.
func (s *Store) acquire(inFlight int) bool {
	if s.tokens < 1 || inFlight >= s.slots {
		return false
	}
	s.tokens--
	return true
}

// Slots returns the measured number of loads from the store that may run concurrently.
func (s *Store) Slots() int { return s.slots }

// Seconds estimates the duration of a load, without waiting for the store.
func (s *Store) Seconds(checkpointMB uint64, source Source) float64 {
	return loadOverheadSeconds + float64(checkpointMB)/s.speeds[source]
}

// RecordLoad records the duration of a load during which the given number of loads from the store ran concurrently.
func (s *Store) RecordLoad(checkpointMB uint64, source Source, seconds float64, concurrentLoads int) {
	if seconds <= 0 || checkpointMB == 0 {
		return
	}
	speed := float64(checkpointMB) / max(seconds-loadOverheadSeconds, seconds/10)
	if !s.measured[source] {
		s.speeds[source], s.measured[source] = speed, true
		if source == Remote {
			s.bestSpeed = speed
		}
	}
	s.speeds[source] += measurementWeight * (speed - s.speeds[source])
	if source != Remote {
		return
	}
	s.bestSpeed = max(s.bestSpeed*bestSpeedDecay, speed)
	switch {
	case speed < slowSpeedRatio*s.bestSpeed && concurrentLoads > 1:
		s.slots = max(1, min(s.slots, concurrentLoads)-1)
	case speed > fastSpeedRatio*s.bestSpeed && concurrentLoads >= s.slots:
		s.slots = min(s.maxSlots, s.slots+1)
	}
}

// countStoreLoads counts the loads from the store in progress. A new leader finds them in the fleet.
func countStoreLoads(f *fleet.Fleet) int {
	count := 0
	for _, replica := range f.PendingReplicas() {
		if replica.Source == string(Remote) || replica.Source == "" {
			count++
		}
	}
	return count
}

// waitSeconds estimates how long a load from the store waits for the loads ahead of it.
func (s *Store) waitSeconds(ahead int, checkpointMB uint64) float64 {
	if s.slots == 0 {
		return math.Inf(1)
	}
	rounds := float64(ahead) / float64(s.slots)
	return max(rounds*s.Seconds(checkpointMB, Remote)/2, float64(ahead)/s.rate)
}

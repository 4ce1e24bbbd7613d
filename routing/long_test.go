package routing

import (
	"math"
	"math/rand/v2"
	"testing"
)

// mixedPrompts returns prompts of which a share is long, around 5,000 tokens, and the others short, around 300, and their mean.
func mixedPrompts(long float64) (prompt func(*rand.Rand) float64, mean float64) {
	prompt = func(r *rand.Rand) float64 {
		size := 300.0
		if r.Float64() < long {
			size = 5000
		}
		return min(max(32, size*math.Exp(0.4*r.NormFloat64()-0.08)), 16_000)
	}
	return prompt, 300*(1-long) + 5000*long
}

// longBursts has only short prompts but for half a second in five, in which all are long.
func longBursts(load emulatedLoad) emulatedLoad {
	load.burst = func(ms float64) bool { return math.Mod(ms, 5000) < 500 }
	load.prompt = func(r *rand.Rand) float64 { return max(32, 300*math.Exp(0.4*r.NormFloat64()-0.08)) }
	load.burstPrompt = func(r *rand.Rand) float64 { return min(5000*math.Exp(0.4*r.NormFloat64()-0.08), 16_000) }
	load.meanPrompt = 300
	return load
}

// TestMixedPrompts guards against long prompts that make the streams and first events of short ones late, and against a limit on long prompts
// that starves them: the largest tenth must be served no less often than by slots, the smallest half more often in its targets.
func TestMixedPrompts(t *testing.T) {
	even := []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	load := func(long float64, speeds []float64, utilization float64) emulatedLoad {
		prompt, mean := mixedPrompts(long)
		return emulatedLoad{speeds: speeds, utilization: utilization, seconds: 60, prompt: prompt, meanPrompt: mean, wave: waves, seed: 5}
	}
	tests := map[string]emulatedLoad{
		"1 in 100 long":         load(0.01, unevenSpeeds(8), 0.13),
		"1 in 10 long":          load(0.1, unevenSpeeds(8), 0.13),
		"half long":             load(0.5, unevenSpeeds(8), 0.13),
		"half long, busy":       load(0.5, unevenSpeeds(8), 0.3),
		"bursts of long ones":   longBursts(load(0, unevenSpeeds(8), 0.1)),
		"one endpoint":          load(0.1, []float64{1}, 0.13),
		"endpoints of one kind": load(0.1, even, 0.13),
	}
	for name, load := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var before, after emulationResult
			for load.seed = range uint64(3) {
				slots, work := newEmulation(load, false).run(load).result(), newEmulation(load, true).run(load).result()
				t.Logf("seed %d, by slots: %v", load.seed, slots)
				t.Logf("seed %d, by work:  %v", load.seed, work)
				before, after = before.plus(slots), after.plus(work)
			}
			t.Logf("mean of three seeds: smallest half late %.3f by slots, %.3f by work; largest tenth late %.3f by slots, %.3f by work", before.smallestLate/3, after.smallestLate/3, before.largestLate/3, after.largestLate/3)
			if after.largestLate > before.largestLate || after.unfinished > before.unfinished {
				t.Errorf("of the largest tenth, %.3f are late and %d unfinished, %.3f and %d by slots", after.largestLate/3, after.unfinished, before.largestLate/3, before.unfinished)
			}
			if len(load.speeds) > 1 && after.smallestLate >= before.smallestLate {
				t.Errorf("of the smallest half, %.3f are late, %.3f by slots", after.smallestLate/3, before.smallestLate/3)
			}
		})
	}
}

// plus adds the figures of the smallest half and the largest tenth, and the unfinished streams.
func (r emulationResult) plus(other emulationResult) emulationResult {
	r.smallestLate += other.smallestLate
	r.largestLate += other.largestLate
	r.unfinished += other.unfinished
	return r
}

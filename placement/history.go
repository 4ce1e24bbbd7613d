package placement

import "math"

const (
	// Idle gaps are counted in bins whose edges grow by binGrowth from one second on.
	bins      = 120
	binGrowth = 1.1
	// oldShare is what each older gap still weighs after a new one.
	oldShare = 0.98
	// priorGaps is the weight, in gaps, of what all models have in common.
	priorGaps = 20
	// spread is how many bins on each side share in a counted gap.
	spread = 2
)

var binEdges = func() [bins + 1]float64 {
	var edges [bins + 1]float64
	for i := 1; i <= bins; i++ {
		edges[i] = math.Pow(binGrowth, float64(i-1))
	}
	return edges
}()

// binOf returns the bin of a gap in seconds.
func binOf(seconds float64) int {
	if seconds < 1 {
		return 0
	}
	return min(bins-1, 1+int(math.Log(seconds)/math.Log(binGrowth)))
}

// Gaps is a histogram of a model's idle gaps in which newer gaps weigh more;
// its last place counts the gaps beyond all bins.
type Gaps struct {
	counts [bins]float64
	sum    float64
	Count  int
}

// Add counts one idle gap in seconds.
func (g *Gaps) Add(seconds float64) {
	for i := range g.counts {
		g.counts[i] *= oldShare
	}
	g.sum *= oldShare
	at := binOf(seconds)
	total := 0.0
	for i := at - spread; i <= at+spread; i++ {
		total += kernel(at, i)
	}
	for i := at - spread; i <= at+spread; i++ {
		if i >= 0 && i < bins {
			g.counts[i] += kernel(at, i) / total
		}
	}
	g.sum++
	g.Count++
}

// kernel is a triangle around the counted bin, cut at the ends.
func kernel(at, i int) float64 {
	if i < 0 || i >= bins {
		return 0
	}
	return float64(spread+1) - math.Abs(float64(at-i))
}

// hazards returns for each bin the chance that an idle model that got as far is asked within it.
func (g *Gaps) hazards(prior *Gaps) [bins]float64 {
	var weights [bins]float64
	left := 0.0
	for i := range weights {
		weights[i] = g.counts[i] + priorGaps*prior.share(i)
		left += weights[i]
	}
	var hazard [bins]float64
	for i, weight := range weights {
		if left > 0 {
			hazard[i] = min(1, weight/left)
		}
		left -= weight
	}
	return hazard
}

// share returns the part of the gaps in a bin; with few gaps all bins, which
// are equal steps of the logarithm, are nearly alike.
func (g *Gaps) share(i int) float64 {
	const flat = 1.0
	return (g.counts[i] + flat/bins) / (g.sum + flat)
}

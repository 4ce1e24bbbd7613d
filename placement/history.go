package placement

import "math"

const (
	// Idle gaps are counted in bins whose edges grow by the factor binGrowth, starting at one second.
	numBins   = 120
	binGrowth = 1.1
	// gapDecay is the factor by which the weight of older gaps shrinks with each new gap.
	gapDecay = 0.98
	// priorWeight is the weight, in gaps, of the distribution over all models.
	priorWeight = 20
	// kernelRadius is the number of bins on each side over which a gap is spread.
	kernelRadius = 2
)

var binEdges = func() [numBins + 1]float64 {
	var edges [numBins + 1]float64
	for i := 1; i <= numBins; i++ {
		edges[i] = math.Pow(binGrowth, float64(i-1))
	}
	return edges
}()

// binOf returns the bin of a gap.
func binOf(seconds float64) int {
	if seconds < 1 {
		return 0
	}
	return min(numBins-1, 1+int(math.Log(seconds)/math.Log(binGrowth)))
}

// Gaps is a histogram of a model's idle gaps in which newer gaps weigh more. The last
// bin counts the gaps beyond all bins.
type Gaps struct {
	counts [numBins]float64
	sum    float64
	Count  int
}

// Add records an idle gap in seconds.
func (g *Gaps) Add(seconds float64) {
	for i := range g.counts {
		g.counts[i] *= gapDecay
	}
	g.sum *= gapDecay
	at := binOf(seconds)
	total := 0.0
	for i := at - kernelRadius; i <= at+kernelRadius; i++ {
		total += kernel(at, i)
	}
	for i := at - kernelRadius; i <= at+kernelRadius; i++ {
		if i >= 0 && i < numBins {
			g.counts[i] += kernel(at, i) / total
		}
	}
	g.sum++
	g.Count++
}

// kernel is a triangular kernel around the bin at, cut off at the ends of the histogram.
func kernel(at, i int) float64 {
	if i < 0 || i >= numBins {
		return 0
	}
	return float64(kernelRadius+1) - math.Abs(float64(at-i))
}

// hazards returns for each bin the probability that a model that has been idle until then is requested within it.
func (g *Gaps) hazards(prior *Gaps) [numBins]float64 {
	var weights [numBins]float64
	left := 0.0
	for i := range weights {
		weights[i] = g.counts[i] + priorWeight*prior.probability(i)
		left += weights[i]
	}
	var hazard [numBins]float64
	for i, weight := range weights {
		if left > 0 {
			hazard[i] = min(1, weight/left)
		}
		left -= weight
	}
	return hazard
}

// probability returns the share of gaps in a bin. With few gaps, all bins are nearly
// equally likely; they are equal steps on a logarithmic scale.
func (g *Gaps) probability(i int) float64 {
	const flat = 1.0
	return (g.counts[i] + flat/numBins) / (g.sum + flat)
}

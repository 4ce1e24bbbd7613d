package scaling

// speedCostSeconds is the cost, in seconds of load time, of placing a replica of a model with targetConcurrency requests per replica on an
// endpoint that is slower than the mean by the mean speed. A load from memory takes 0.4 s, one from disk about a second.
const speedCostSeconds = 1.0

// minSpeed is the lowest speed that is taken into account.
const minSpeed = 0.1

// speed returns the endpoint's speed relative to the mean, or 1 if it is unknown.
func (t *trackedEndpoint) speed() float64 {
	if t.state.Speed <= 0 {
		return 1
	}
	return max(t.state.Speed, minSpeed)
}

// speedCost returns the cost of an endpoint's speed for a model. It is negative for fast endpoints, so that busy models are placed there first.
func speedCost(n need, t *trackedEndpoint) float64 {
	return speedCostSeconds * (1 - t.speed()) * min(n.requestsPerReplica, overloadedRequests) / targetConcurrency
}

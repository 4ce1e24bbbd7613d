package placement

import (
	"math"

	"burdocksaddle/catalog"
	"burdocksaddle/fleet"
)

// Reasons of forecasts that a model cannot be loaded.
const (
	ForecastUnknown = "NotInCatalog"
	ForecastTooBig  = "NoEndpointFits"
	ForecastFull    = "NothingCanBeFreed"
)

// soonSeconds is the forecast of a load that may end at any moment.
const soonSeconds = 0.1

// A load that takes longer than expected is expected to need this share of what it took so far.
const overrunShare = 0.5

// Forecast is the expected time until a model serves, or why it will not.
type Forecast struct {
	ReadySeconds float64
	Reason       string
}

// Forecast estimates when a model serves from the loads under way, the store and where its checkpoint is.
func (p *Policy) Forecast(s Situation, name string) Forecast {
	r := p.newRound(s)
	model, known := s.Catalog.Model(name)
	if !known {
		return Forecast{Reason: ForecastUnknown}
	}
	least := math.Inf(1)
	for _, replica := range s.Fleet.OfModel(name) {
		endpoint, _ := s.Fleet.Endpoint(replica.Endpoint)
		switch {
		case endpoint.Leaving || endpoint.Silent:
		case replica.State == fleet.Loaded:
			return Forecast{}
		case replica.Pending():
			least = min(least, p.remaining(replica, s.NowMS))
		}
	}
	if !math.IsInf(least, 1) {
		return Forecast{ReadySeconds: least}
	}
	return r.forecastNew(model)
}

// remaining is what a load still needs; one past its expectation is slow and
// gets more time. Where no load was measured yet nobody is refused on a guess.
func (p *Policy) remaining(replica fleet.Replica, nowMS int64) float64 {
	if !p.store.measured[Source(replica.Source)] {
		return soonSeconds
	}
	took := float64(nowMS-replica.DecidedMS) / millisecond
	expected := float64(replica.ExpectedMS) / millisecond
	return max(expected-took, overrunShare*max(0, took-expected), soonSeconds)
}

// forecastNew estimates a load that is not decided yet, behind the loads that are.
func (r *round) forecastNew(model catalog.Model) Forecast {
	if _, source, ok := r.choose(model); ok {
		return Forecast{ReadySeconds: r.estimate(model, source)}
	}
	fits := false
	for _, name := range r.Fleet.EndpointsOf(model.Service) {
		if _, ok := r.candidate(name, model); !ok {
			continue
		}
		fits = true
		if victims, _, coming := r.victims(name, model); coming || len(victims) > 0 {
			return Forecast{ReadySeconds: unloadSeconds + r.estimate(model, r.Cached(name, model.Name, model.Version))}
		}
	}
	if fits {
		return Forecast{Reason: ForecastFull}
	}
	return Forecast{Reason: ForecastTooBig}
}

func (r *round) estimate(model catalog.Model, source Source) float64 {
	if !r.store.measured[source] {
		return startSeconds
	}
	seconds := r.store.Seconds(checkpoint(model), source)
	if source == Remote && r.inFlight >= r.store.slots {
		seconds += r.store.waitSeconds(r.inFlight-r.store.slots+1, checkpoint(model))
	}
	return seconds
}

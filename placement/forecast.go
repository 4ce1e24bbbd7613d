package placement

import (
	"math"

	"burdocksaddle/catalog"
	"burdocksaddle/fleet"
)

// Reasons why a model can't be loaded.
const (
	ForecastNotInCatalog      = "NotInCatalog"
	ForecastNoEndpointFits    = "NoEndpointFits"
	ForecastNothingCanBeFreed = "NothingCanBeFreed"
)

// minReadySeconds is the forecast for a load that may complete at any moment.
const minReadySeconds = 0.1

// overrunFactor is the share of a load's overrun that it is expected to need in addition, once it takes longer than expected.
const overrunFactor = 0.5

// Forecast is the expected time until a model can serve, or the reason why it can't be loaded.
type Forecast struct {
	ReadySeconds float64
	Reason       string
}

// Forecast estimates when a model can serve, from the loads in progress, the store and the location of its checkpoint.
func (p *Policy) Forecast(s Situation, name string) Forecast {
	r := p.newRound(s)
	model, known := s.Catalog.Model(name)
	if !known {
		return Forecast{Reason: ForecastNotInCatalog}
	}
	least := math.Inf(1)
	for _, replica := range s.Fleet.ReplicasOfModel(name) {
		endpoint, _ := s.Fleet.Endpoint(replica.Endpoint)
		switch {
		case endpoint.Leaving || endpoint.Silent:
		case replica.State == fleet.Loaded:
			return Forecast{}
		case replica.Pending():
			least = min(least, p.remainingSeconds(replica, s.NowMS))
		}
	}
	if !math.IsInf(least, 1) {
		return Forecast{ReadySeconds: least}
	}
	return r.forecastNew(model)
}

// remainingSeconds returns the remaining time of a load. A load that exceeds its
// expected duration is assumed to be slow and gets more time. Until a load from its
// source has been measured, the estimate is short so that no request is refused
// because of an assumed speed.
func (p *Policy) remainingSeconds(replica fleet.Replica, nowMS int64) float64 {
	if !p.store.measured[Source(replica.Source)] {
		return minReadySeconds
	}
	took := float64(nowMS-replica.DecidedMS) / msPerSecond
	expected := float64(replica.ExpectedMS) / msPerSecond
	return max(expected-took, overrunFactor*max(0, took-expected), minReadySeconds)
}

// forecastNew estimates when a model can serve whose load isn't decided yet, behind the loads in progress.
func (r *decisionRound) forecastNew(model catalog.Model) Forecast {
	if _, source, ok := r.chooseEndpoint(model); ok {
		return Forecast{ReadySeconds: r.estimateSeconds(model, source)}
	}
	fits := false
	for _, name := range r.Fleet.EndpointsOf(model.Service) {
		if _, ok := r.eligibleEndpoint(name, model); !ok {
			continue
		}
		fits = true
		if victims, _, fitsAnyway := r.selectVictims(name, model); fitsAnyway || len(victims) > 0 {
			return Forecast{ReadySeconds: unloadSeconds + r.estimateSeconds(model, r.CheckpointSource(name, model.Name, model.Version))}
		}
	}
	if fits {
		return Forecast{Reason: ForecastNothingCanBeFreed}
	}
	return Forecast{Reason: ForecastNoEndpointFits}
}

func (r *decisionRound) estimateSeconds(model catalog.Model, source Source) float64 {
	if !r.store.measured[source] {
		return loadOverheadSeconds
	}
	seconds := r.store.Seconds(checkpointSize(model), source)
	if source == Remote && r.inFlight >= r.store.slots {
		seconds += r.store.waitSeconds(r.inFlight-r.store.slots+1, checkpointSize(model))
	}
	return seconds
}

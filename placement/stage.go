package placement

import "burdocksaddle/catalog"

const (
	// A model is staged at most once per stageIntervalMS, and only while fewer than maxStagingLoads loads are pending.
	stageIntervalMS = 2 * 3600 * 1000
	maxStagingLoads = 2
	// stageUseProbability is the assumed minimum probability that a model is requested before its staged copy is lost.
	stageUseProbability = 0.2
)

// stage loads an idle model whose checkpoint no VM caches in memory, so that the VM
// keeps the checkpoint after the unload that follows. The next cold start is then
// much faster, without a replica that stays idle.
func (r *decisionRound) stage() {
	if !r.staging || len(r.Fleet.PendingReplicas()) >= maxStagingLoads {
		return
	}
	for _, model := range r.Catalog.Models {
		if len(r.decisions) > 0 {
			return
		}
		if r.Fleet.ReplicaCountOfModel(model.Name) == 0 && r.worthStaging(model) {
			r.placeReplica(model, ReasonStage, false)
			if len(r.decisions) > 0 {
				r.usage(model.Name).stagedMS = r.NowMS
			}
		}
	}
}

// worthStaging reports whether the time that the next cold start saves outweighs the idle time of a load now.
func (r *decisionRound) worthStaging(model catalog.Model) bool {
	u := r.usage(model.Name)
	if u.busy || u.stagedMS > 0 && r.NowMS-u.stagedMS < stageIntervalMS {
		return false
	}
	source := r.fastestSource(model)
	if source == Memory {
		return false
	}
	slow, fast := r.store.Seconds(checkpointSize(model), source), r.store.Seconds(checkpointSize(model), Memory)
	gain := stageUseProbability * r.preset.ColdStartWeight * coldStartIdleRatio * u.meanBurst * (slow - fast)
	return gain > r.preset.IdleWeight*r.acceleratorShare(model)*(slow+unloadSeconds)
}

package placement

import "burdocksaddle/catalog"

const (
	// A model is loaded for its checkpoint alone at most this often, and so many at once.
	stageEveryMS = 2 * 3600 * 1000
	stagedAtOnce = 2
	// stageChance is the least chance that a model of the catalog is asked before its copy is lost.
	stageChance = 0.2
)

// stage loads an idle model whose checkpoint no VM keeps in memory, so that
// the VM keeps it after the unload that follows: the next cold start then
// takes a fraction of the time, and nothing stays idle for it.
func (r *round) stage() {
	if !r.staging || len(r.Fleet.PendingReplicas()) >= stagedAtOnce {
		return
	}
	for _, model := range r.Catalog.Models {
		if len(r.decisions) > 0 {
			return
		}
		if r.Fleet.ReplicasOf(model.Name) == 0 && r.worthStaging(model) {
			r.place(model, ReasonStage, false)
			if len(r.decisions) > 0 {
				r.usage(model.Name).stagedMS = r.NowMS
			}
		}
	}
}

// worthStaging weighs the time that the next cold start gains against the idle time of a load now.
func (r *round) worthStaging(model catalog.Model) bool {
	u := r.usage(model.Name)
	if u.busy || u.stagedMS > 0 && r.NowMS-u.stagedMS < stageEveryMS {
		return false
	}
	source := r.nearest(model)
	if source == Memory {
		return false
	}
	slow, fast := r.store.Seconds(checkpoint(model), source), r.store.Seconds(checkpoint(model), Memory)
	gain := stageChance * r.preset.ColdStartWeight * waitWorth * u.burst * (slow - fast)
	return gain > r.preset.IdleWeight*r.share(model)*(slow+unloadSeconds)
}

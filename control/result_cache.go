package control

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"burdocksaddle/wirepb"
)

// resultCache stores the first results of commands, limited in number and age, so that a resent command gets the
// same result again.
type resultCache struct {
	maxEntries int
	maxAgeMS   int64
	order      []string
	results    map[string]cachedResult
}

type cachedResult struct {
	AtMS   int64
	Hash   uint64
	Result []byte
}

func newResultCache(maxEntries int, maxAgeMS int64) *resultCache {
	return &resultCache{maxEntries: maxEntries, maxAgeMS: maxAgeMS, results: map[string]cachedResult{}}
}

// lookup returns the first result stored for an id, and whether the command was the same.
func (c *resultCache) lookup(id string, hash uint64) (result *wirepb.CommandResult, same, known bool) {
	stored, known := c.results[id]
	if !known {
		return nil, false, false
	}
	result = &wirepb.CommandResult{}
	if err := proto.Unmarshal(stored.Result, result); err != nil {
		return nil, false, false
	}
	return result, stored.Hash == hash, true
}

// add stores a first result and evicts results above the limits.
func (c *resultCache) add(id string, hash uint64, atMS int64, result *wirepb.CommandResult) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	if err != nil {
		return
	}
	c.order = append(c.order, id)
	c.results[id] = cachedResult{AtMS: atMS, Hash: hash, Result: data}
	c.evict(atMS)
}

func (c *resultCache) evict(nowMS int64) {
	for len(c.order) > 0 && (len(c.order) > c.maxEntries || c.results[c.order[0]].AtMS+c.maxAgeMS < nowMS) {
		delete(c.results, c.order[0])
		c.order = c.order[1:]
	}
}

// resultCacheState is the serializable form of resultCache; its field names are stored in snapshots.
type resultCacheState struct {
	Order []string
	Held  map[string]cachedResult
}

func (c *resultCache) export() resultCacheState {
	return resultCacheState{Order: slices.Clone(c.order), Held: maps.Clone(c.results)}
}

func (c *resultCache) restore(s resultCacheState) {
	c.order, c.results = s.Order, s.Held
	if c.results == nil {
		c.results = map[string]cachedResult{}
	}
}

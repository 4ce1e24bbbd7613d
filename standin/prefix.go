package standin

import (
	"slices"
	"time"

	"burdocksaddle/engineapi"
)

const maxCacheEvents = 4096

// prefixCache is a bounded cache of prompt prefixes, most recently used first. It records its changes as events.
type prefixCache struct {
	limit    int
	cached   []cachedPrefix
	events   []cacheEvent
	sequence uint64
}

type cachedPrefix struct {
	model  string
	prefix uint64
}

type cacheEvent struct {
	at time.Time
	engineapi.CacheEvent
}

// touch marks a prefix as the most recently used one, adds it if necessary, and reports whether it was cached before.
func (c *prefixCache) touch(model string, prefix uint64) bool {
	entry := cachedPrefix{model: model, prefix: prefix}
	index := slices.Index(c.cached, entry)
	if index >= 0 {
		c.cached = slices.Delete(c.cached, index, index+1)
	}
	c.cached = slices.Insert(c.cached, 0, entry)
	if index >= 0 {
		return true
	}
	c.addEvent(entry, false)
	if len(c.cached) > c.limit {
		c.addEvent(c.cached[c.limit], true)
		c.cached = c.cached[:c.limit]
	}
	return false
}

func (c *prefixCache) modelOf(prefix uint64) (string, bool) {
	for _, entry := range c.cached {
		if entry.prefix == prefix {
			return entry.model, true
		}
	}
	return "", false
}

func (c *prefixCache) addEvent(entry cachedPrefix, dropped bool) {
	c.sequence++
	c.events = append(c.events, cacheEvent{at: time.Now(), CacheEvent: engineapi.CacheEvent{
		Sequence: c.sequence, Model: entry.model, Prefix: entry.prefix, Dropped: dropped,
	}})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events after a sequence number that happened no later than cutoff, without every gap-th one.
func (c *prefixCache) eventsAfter(sequence uint64, cutoff time.Time, gap uint64) []engineapi.CacheEvent {
	out := []engineapi.CacheEvent{}
	for _, event := range c.events {
		omitted := gap > 0 && event.Sequence%gap == 0
		if event.Sequence > sequence && !event.at.After(cutoff) && !omitted {
			out = append(out, event.CacheEvent)
		}
	}
	return out
}

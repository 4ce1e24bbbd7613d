package standin

import (
	"slices"
	"time"

	"burdocksaddle/engineapi"
)

const maxCacheEvents = 4096

// prefixCache is a bounded cache of prompt prefixes, the last used first, with its events.
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

// touch uses a prefix and says whether it was cached before.
func (c *prefixCache) touch(model string, prefix uint64) bool {
	one := cachedPrefix{model: model, prefix: prefix}
	at := slices.Index(c.cached, one)
	if at >= 0 {
		c.cached = slices.Delete(c.cached, at, at+1)
	}
	c.cached = slices.Insert(c.cached, 0, one)
	if at >= 0 {
		return true
	}
	c.publish(one, false)
	if len(c.cached) > c.limit {
		c.publish(c.cached[c.limit], true)
		c.cached = c.cached[:c.limit]
	}
	return false
}

func (c *prefixCache) model(prefix uint64) (string, bool) {
	for _, one := range c.cached {
		if one.prefix == prefix {
			return one.model, true
		}
	}
	return "", false
}

func (c *prefixCache) publish(one cachedPrefix, dropped bool) {
	c.sequence++
	c.events = append(c.events, cacheEvent{at: time.Now(), CacheEvent: engineapi.CacheEvent{
		Sequence: c.sequence, Model: one.model, Prefix: one.prefix, Dropped: dropped,
	}})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// after returns the events past a sequence that are old enough, without every gap-th one.
func (c *prefixCache) after(sequence uint64, visible time.Time, gap uint64) []engineapi.CacheEvent {
	out := []engineapi.CacheEvent{}
	for _, event := range c.events {
		lost := gap > 0 && event.Sequence%gap == 0
		if event.Sequence > sequence && !event.at.After(visible) && !lost {
			out = append(out, event.CacheEvent)
		}
	}
	return out
}

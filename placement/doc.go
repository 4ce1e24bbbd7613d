// Package placement is the model placement policy. It decides which models are
// loaded where and when, which idle ones are kept loaded and which are evicted. It
// performs no I/O.
package placement

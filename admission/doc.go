// Package admission is the aggregate of waiting requests: bounded queues, fair
// between callers, live before drafts, deadlines and early refusal.
package admission

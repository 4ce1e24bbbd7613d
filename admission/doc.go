// Package admission queues requests in bounded queues that are fair between callers and serve live requests before
// drafts. It refuses requests early that cannot meet their deadline.
package admission

package view

import (
	"encoding/json"
	"time"

	"burdocksaddle/catalog"
	"burdocksaddle/wirepb"
)

// applyUpdate applies an update. An older catalog or fleet never replaces a newer one.
func (c *Client) applyUpdate(update *wirepb.WatchUpdate) (*wirepb.Confirm, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(update.GetCatalog()) > 0 {
		next, err := decodeCatalog(update, c.catalog)
		if err != nil {
			return nil, err
		}
		if next.Version > c.catalog.Version {
			c.catalog = next
			c.log.Info("configuration applied", "version", next.Version, "preset", next.Preset)
		}
	}
	c.applyEndpoints(update)
	c.extendLease(update)
	close(c.changed)
	c.changed = make(chan struct{})
	return &wirepb.Confirm{CatalogVersion: c.catalog.Version, FleetVersion: c.fleetVersion, Stamp: c.stamp()}, nil
}

func decodeCatalog(update *wirepb.WatchUpdate, base catalog.Catalog) (catalog.Catalog, error) {
	if update.GetCatalogDelta() {
		var delta catalog.Delta
		if err := json.Unmarshal(update.GetCatalog(), &delta); err != nil {
			return base, err
		}
		return delta.Apply(base)
	}
	var next catalog.Catalog
	err := json.Unmarshal(update.GetCatalog(), &next)
	return next, err
}

func (c *Client) applyEndpoints(update *wirepb.WatchUpdate) {
	if update.GetFleetVersion() < c.fleetVersion {
		return // the member lags behind this node
	}
	if update.GetFleetFull() {
		clear(c.endpoints)
	}
	for _, endpoint := range update.GetEndpoints() {
		c.endpoints[endpoint.GetName()] = endpoint
	}
	for _, name := range update.GetGoneEndpoints() {
		delete(c.endpoints, name)
	}
	c.fleetVersion = update.GetFleetVersion()
}

// extendLease starts the lease at the time when this node sent the stamp that the member echoes, so that a
// delayed update does not extend the lease.
func (c *Client) extendLease(update *wirepb.WatchUpdate) {
	if length := time.Duration(update.GetLeaseLengthMs()) * time.Millisecond; length > 0 {
		c.leaseLength = length
	}
	duration := time.Duration(update.GetLeaseMs()) * time.Millisecond
	if duration == 0 || update.GetStamp() == 0 {
		return
	}
	sent := c.start.Add(time.Duration(update.GetStamp()-1) * time.Millisecond)
	if expiry := sent.Add(duration); expiry.After(c.leaseExpiry) {
		c.leaseExpiry = expiry
	}
}

// Catalog returns the active catalog of this node.
func (c *Client) Catalog() catalog.Catalog {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.catalog
}

// Endpoints returns the known endpoints of a service.
func (c *Client) Endpoints(service string) []*wirepb.EndpointView {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var all []*wirepb.EndpointView
	for _, endpoint := range c.endpoints {
		if service == "" || endpoint.GetService() == service {
			all = append(all, endpoint)
		}
	}
	return all
}

// Leased reports whether this node's lease, granted by contact with the quorum, is still valid.
func (c *Client) Leased() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return time.Now().Before(c.leaseExpiry)
}

// Changed returns a channel that is closed on the next update.
func (c *Client) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// Version returns the version of this node's active catalog.
func (c *Client) Version() uint64 { return c.Catalog().Version }

package view

import (
	"encoding/json"
	"time"

	"burdocksaddle/catalog"
	"burdocksaddle/wirepb"
)

// take brings the picture forward; an older catalog or fleet never replaces a newer one.
func (c *Client) take(u *wirepb.WatchUpdate) (*wirepb.Confirm, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(u.GetCatalog()) > 0 {
		next, err := catalogOf(u, c.catalog)
		if err != nil {
			return nil, err
		}
		if next.Version > c.catalog.Version {
			c.catalog = next
			c.log.Info("configuration in force", "version", next.Version, "preset", next.Preset)
		}
	}
	c.takeEndpoints(u)
	c.takeLease(u)
	close(c.changed)
	c.changed = make(chan struct{})
	return &wirepb.Confirm{CatalogVersion: c.catalog.Version, FleetVersion: c.fleet, Stamp: c.stamp()}, nil
}

func catalogOf(u *wirepb.WatchUpdate, base catalog.Catalog) (catalog.Catalog, error) {
	if u.GetCatalogDelta() {
		var delta catalog.Delta
		if err := json.Unmarshal(u.GetCatalog(), &delta); err != nil {
			return base, err
		}
		return delta.Apply(base)
	}
	var next catalog.Catalog
	err := json.Unmarshal(u.GetCatalog(), &next)
	return next, err
}

func (c *Client) takeEndpoints(u *wirepb.WatchUpdate) {
	if u.GetFleetVersion() < c.fleet {
		return // a member that lags behind what this node has seen
	}
	if u.GetFleetFull() {
		clear(c.endpoints)
	}
	for _, endpoint := range u.GetEndpoints() {
		c.endpoints[endpoint.GetName()] = endpoint
	}
	for _, name := range u.GetGoneEndpoints() {
		delete(c.endpoints, name)
	}
	c.fleet = u.GetFleetVersion()
}

// takeLease counts a lease from when this node sent the stamp that the member echoes, so that an update
// which was long on its way gives no longer lease.
func (c *Client) takeLease(u *wirepb.WatchUpdate) {
	if whole := time.Duration(u.GetLeaseLengthMs()) * time.Millisecond; whole > 0 {
		c.lease = whole
	}
	length := time.Duration(u.GetLeaseMs()) * time.Millisecond
	if length == 0 || u.GetStamp() == 0 {
		return
	}
	sent := c.start.Add(time.Duration(u.GetStamp()-1) * time.Millisecond)
	if until := sent.Add(length); until.After(c.until) {
		c.until = until
	}
}

// Catalog returns the catalog in force here.
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

// Leased tells whether the node heard from the quorum within the lease.
func (c *Client) Leased() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return time.Now().Before(c.until)
}

// Changed returns a channel that closes at the next update.
func (c *Client) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// Version returns the version of the catalog in force here.
func (c *Client) Version() uint64 { return c.Catalog().Version }

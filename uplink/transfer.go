package uplink

import (
	"context"
	"time"

	"burdocksaddle/delta"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	// transferTimeout is how long the first attempt to fetch a table waits for its next part. Each further attempt waits twice as
	// long, up to maxTransferTimeout, so that repeated transfers do not fill a link that is only slow.
	transferTimeout    = 700 * time.Millisecond
	maxTransferTimeout = 4 * transferTimeout
	// retryDelayDivisor relates the pause after a failed attempt to that attempt's timeout.
	retryDelayDivisor = 7
	// maxTableBytes limits a decoded table.
	maxTableBytes = 16 << 20
)

// Table is a version of the operator's table as a steward sent it.
type Table struct {
	Version uint64
	Raw     []byte
	// Steward is the sender, TransferredBytes the length of what it sent, and Took the time from the request to the last byte.
	Steward          string
	TransferredBytes int
	Took             time.Duration
}

// recordAnnouncement records the version that a steward announced last, 0 if it is not connected.
func (u *Uplink) recordAnnouncement(steward string, version uint64) {
	u.mu.Lock()
	changed := u.announced[steward] != version
	if u.announced[steward] = version; version == 0 {
		delete(u.announced, steward)
	}
	u.mu.Unlock()
	if !changed {
		return
	}
	select {
	case u.announcement <- struct{}{}:
	default: // the transfer loop is about to wake
	}
}

// newestAnnounced returns the steward that announces the newest version above the given one, another one than avoid if possible.
func (u *Uplink) newestAnnounced(above uint64, avoid string) (steward string, version uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for address, announced := range u.announced {
		switch {
		case announced <= above:
		case steward == "", steward == avoid, address != avoid && announced > version:
			steward, version = address, announced
		}
	}
	return steward, version
}

// transfers is the state of the transfer loop.
type transfers struct {
	*Uplink
	current Table
	// timeout is that of the next attempt, failedSteward the steward of the last one if it failed.
	timeout       time.Duration
	failedSteward string
	// complete is set if the next attempt must not use the current table as its base.
	complete bool
}

// runTransfers fetches the newest announced table, one transfer at a time, until the context ends.
func (u *Uplink) runTransfers(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t := transfers{Uplink: u, timeout: transferTimeout}
		for ctx.Err() == nil {
			steward, version := u.newestAnnounced(t.current.Version, t.failedSteward)
			var retry <-chan time.Time
			if steward != "" {
				if t.attempt(ctx, steward, version) {
					continue
				}
				retry = time.After(t.timeout / retryDelayDivisor)
			}
			select {
			case <-ctx.Done():
			case <-u.announcement:
			case <-retry:
			}
		}
	}()
	return done
}

// attempt fetches a steward's table, passes it on and reports whether it did.
func (t *transfers) attempt(ctx context.Context, steward string, version uint64) bool {
	base := t.current
	if t.complete {
		base = Table{}
	}
	t.log.Info("table requested", "steward", steward, "version", version, "base", base.Version)
	fetched, err := t.fetch(ctx, steward, base, t.timeout)
	if err == nil && fetched.Version <= t.current.Version {
		err = ErrNotNewer{Steward: steward, Version: fetched.Version}
	}
	if err == nil {
		err = t.onTable(fetched)
	}
	if err != nil {
		t.log.Info("table not received", "steward", steward, "version", version, "error", err.Error())
		t.timeout, t.failedSteward, t.complete = min(2*t.timeout, maxTransferTimeout), steward, isErrDecode(err)
		return false
	}
	t.current, t.timeout, t.failedSteward, t.complete = fetched, transferTimeout, "", false
	return true
}

// fetch fetches a steward's table. Each part must arrive within the timeout.
func (u *Uplink) fetch(ctx context.Context, steward string, base Table, timeout time.Duration) (Table, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	openTimer := time.AfterFunc(timeout, cancel)
	stream, err := u.pool.Open(ctx, steward)
	if err != nil {
		return Table{}, err
	}
	defer stream.Close()
	if !openTimer.Stop() {
		return Table{}, ctx.Err()
	}
	query := &wirepb.TableQuery{Node: u.node, Base: base.Version}
	if err := stream.Send(&wirepb.Frame{Body: &wirepb.Frame_TableQuery{TableQuery: query}}, timeout); err != nil {
		return Table{}, err
	}
	encoded, last, err := receiveParts(stream, timeout)
	if err != nil {
		return Table{}, err
	}
	baseRaw := base.Raw
	if last.GetBase() != base.Version {
		baseRaw = nil
	}
	raw, err := delta.Decode(baseRaw, encoded, last.GetChecksum(), maxTableBytes)
	return Table{Version: last.GetVersion(), Raw: raw, Steward: steward, TransferredBytes: len(encoded), Took: time.Since(began)}, err
}

// receiveParts returns an encoded table and its last part.
func receiveParts(stream *wire.Stream, timeout time.Duration) (encoded []byte, last *wirepb.TablePart, err error) {
	for {
		frame, err := stream.Receive(timeout)
		if err != nil {
			return nil, nil, err
		}
		part := frame.GetTablePart()
		if part == nil {
			return nil, nil, wire.ErrUnexpectedFrame{Peer: stream.Peer(), Want: "TablePart"}
		}
		encoded = append(encoded, part.GetData()...)
		if uint64(len(encoded)) >= part.GetEncodedBytes() || len(encoded) > maxTableBytes {
			return encoded, part, nil
		}
	}
}

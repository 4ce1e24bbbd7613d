package steward

import (
	"context"
	"sync"
	"time"

	"burdocksaddle/delta"
	"burdocksaddle/logging"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	// tablePartBytes is the size of the parts that a table is sent in. A gateway's link carries one in less time than a heartbeat may
	// be late.
	tablePartBytes = 16 << 10
	// maxHistoryBytes limits the earlier tables that are kept as bases of transfers.
	maxHistoryBytes = 4 << 20
)

// tableHistory holds the newest table and earlier ones, and encodes the newest one for gateways that have one of them.
type tableHistory struct {
	encodeDelta func(base, document []byte) ([]byte, error)
	// encoding is held while a table is encoded, mu only for a moment: a new table must not wait for that.
	encoding sync.Mutex
	mu       sync.Mutex
	// tables are the tables in ascending order of their versions.
	tables []versionedTable
	// encodings are the encodings of the newest table by the version that they are based on.
	encodings map[uint64]tableEncoding
}

type versionedTable struct {
	version uint64
	raw     []byte
}

// tableEncoding is a table as it is sent to gateways that have the base version, or to any if base is 0.
type tableEncoding struct {
	version, base, checksum uint64
	data                    []byte
}

// add appends the newest table.
func (h *tableHistory) add(version uint64, raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tables = append(h.tables, versionedTable{version, raw})
	size := 0
	for _, t := range h.tables[:len(h.tables)-1] {
		size += len(t.raw)
	}
	for ; size > maxHistoryBytes; h.tables = h.tables[1:] {
		size -= len(h.tables[0].raw)
	}
	h.encodings = map[uint64]tableEncoding{}
}

// encode returns the newest table for a gateway that has the base version. It returns ErrNoTable or delta.ErrEncode.
func (h *tableHistory) encode(base uint64) (tableEncoding, error) {
	h.encoding.Lock()
	defer h.encoding.Unlock()
	newest, baseTable, cached := h.lookUp(base)
	switch {
	case newest.version == 0:
		return tableEncoding{}, ErrNoTable{}
	case cached.version != 0:
		return cached, nil
	}
	data, err := h.encodeDelta(baseTable.raw, newest.raw)
	if err != nil {
		return tableEncoding{}, err
	}
	encoding := tableEncoding{version: newest.version, base: baseTable.version, checksum: delta.Checksum(newest.raw), data: data}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tables[len(h.tables)-1].version == newest.version {
		h.encodings[baseTable.version] = encoding
	}
	return encoding, nil
}

// lookUp returns the newest table, the base if it is an earlier table that is still kept, and the encoding if it was made before.
func (h *tableHistory) lookUp(base uint64) (newest, baseTable versionedTable, cached tableEncoding) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.tables {
		if newest.version == base {
			baseTable = newest
		}
		newest = t
	}
	return newest, baseTable, h.encodings[baseTable.version]
}

// handleTableQuery sends the newest table in parts, so that the other streams of the session can send in between.
func (s *Steward) handleTableQuery(_ context.Context, query *wirepb.TableQuery, stream *wire.Stream) {
	began := time.Now()
	encoding, err := s.tables.encode(query.GetBase())
	if err == nil {
		err = sendTable(stream, encoding)
	}
	s.log.Info("table sent", "subscriber", query.GetNode(), "version", encoding.version, "base", encoding.base, "bytes", len(encoding.data),
		"ms", time.Since(began).Milliseconds(), "error", logging.ErrorText(err))
}

func sendTable(stream *wire.Stream, encoding tableEncoding) error {
	for rest := encoding.data; len(rest) > 0; {
		n := min(len(rest), tablePartBytes)
		part := &wirepb.TablePart{
			Version: encoding.version, Base: encoding.base, Data: rest[:n], EncodedBytes: uint64(len(encoding.data)), Checksum: encoding.checksum,
		}
		if err := stream.Send(&wirepb.Frame{Body: &wirepb.Frame_TablePart{TablePart: part}}, sendTimeout); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

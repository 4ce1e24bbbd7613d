package steward

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/delta"
)

// rawTable returns the content of a version. Versions differ in a few bytes only.
func rawTable(version uint64, bytes int) []byte {
	r := rand.New(rand.NewPCG(1, 1))
	raw := fmt.Appendf(nil, "version %d:", version)
	for len(raw) < bytes {
		raw = fmt.Appendf(raw, "route %08x;", r.Uint32())
	}
	return raw
}

func TestTableHistory(t *testing.T) {
	const tableBytes = 1 << 20
	tests := []struct {
		name              string
		versions          []uint64
		base              uint64
		wantBase          uint64
		wantEncodedAtMost int
	}{
		{"no table yet at the gateway", []uint64{1, 2}, 0, 0, tableBytes},
		{"the version before", []uint64{1, 2}, 1, 1, tableBytes / 100},
		{"an earlier version", []uint64{1, 4, 9}, 1, 1, tableBytes / 100},
		{"a version that was never in force", []uint64{1, 4, 9}, 3, 0, tableBytes},
		{"a version that is no longer kept", []uint64{1, 2, 3, 4, 5, 6, 7, 8}, 1, 0, tableBytes},
		{"the newest version itself", []uint64{1, 2}, 2, 0, tableBytes},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := tableHistory{encodeDelta: delta.Encode}
			for _, version := range test.versions {
				h.add(version, rawTable(version, tableBytes))
			}
			newest := test.versions[len(test.versions)-1]
			encoding, err := h.encode(test.base)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]uint64{newest, test.wantBase}, []uint64{encoding.version, encoding.base}); diff != "" {
				t.Errorf("version and base: %s", diff)
			}
			if len(encoding.data) > test.wantEncodedAtMost {
				t.Errorf("%d bytes, want at most %d", len(encoding.data), test.wantEncodedAtMost)
			}
			var base []byte
			if encoding.base > 0 {
				base = rawTable(encoding.base, tableBytes)
			}
			decoded, err := delta.Decode(base, encoding.data, encoding.checksum, 2*tableBytes)
			if err != nil || !bytes.Equal(decoded, rawTable(newest, tableBytes)) {
				t.Errorf("decoded %d bytes, error %v", len(decoded), err)
			}
		})
	}
}

func TestNoTableToEncode(t *testing.T) {
	h := tableHistory{encodeDelta: delta.Encode}
	if _, err := h.encode(0); !errors.As(err, &ErrNoTable{}) {
		t.Errorf("got %v", err)
	}
}

func TestNewTableDoesNotWaitForTransfer(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	h := tableHistory{encodeDelta: func([]byte, []byte) ([]byte, error) {
		close(started)
		<-finish
		return []byte("encoding of version 1"), nil
	}}
	h.add(1, []byte("version 1"))
	encoded := make(chan tableEncoding, 1)
	go func() {
		encoding, err := h.encode(0)
		if err != nil {
			t.Error(err)
		}
		encoded <- encoding
	}()
	<-started
	added := make(chan struct{})
	go func() {
		h.add(2, []byte("version 2"))
		close(added)
	}()
	select {
	case <-added:
	case <-time.After(5 * time.Second):
		t.Error("a new table waits until an earlier one is encoded")
	}
	close(finish)
	if diff := cmp.Diff(uint64(1), (<-encoded).version); diff != "" {
		t.Errorf("version encoded: %s", diff)
	}
	h.encodeDelta = func([]byte, []byte) ([]byte, error) { return []byte("encoding of version 2"), nil }
	if encoding, err := h.encode(0); err != nil || encoding.version != 2 || string(encoding.data) != "encoding of version 2" {
		t.Errorf("encoded version %d, %q, error %v", encoding.version, encoding.data, err)
	}
}

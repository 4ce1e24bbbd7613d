package consensus

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestTrailingEntriesKeepWithinLimits(t *testing.T) {
	tests := []struct {
		name    string
		limits  Limits
		end     uint64
		discard uint64
	}{
		{"fewer than both limits", Limits{TrailingEntries: 100, TrailingBytes: 1000}, 10, 0},
		{"as many bytes as allowed", Limits{TrailingEntries: 100, TrailingBytes: 100}, 10, 0},
		{"too many bytes", Limits{TrailingEntries: 100, TrailingBytes: 35}, 10, 7},
		{"too many entries", Limits{TrailingEntries: 2, TrailingBytes: 1000}, 10, 8},
		{"before the end of the log", Limits{TrailingEntries: 100, TrailingBytes: 35}, 6, 3},
		{"one entry larger than the limit", Limits{TrailingEntries: 100, TrailingBytes: 9}, 10, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, err := newEntryLog(Snapshot{}, nil)
			if err != nil {
				t.Fatal(err)
			}
			for index := range uint64(10) {
				l.append(Entry{Index: index + 1, Term: 1, Data: make([]byte, 10)})
			}
			if diff := cmp.Diff(test.discard, l.trailingStart(test.end, test.limits)); diff != "" {
				t.Errorf("entries discarded (-want +got):\n%s", diff)
			}
		})
	}
}

package delta

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const maxDocumentBytes = 64 << 20

func TestDecodeReturnsTheDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 4000).Draw(t, "base")
		document := append(bytes.Clone(base), rapid.SliceOfN(rapid.Byte(), 0, 4000).Draw(t, "added")...)
		if cut := rapid.IntRange(0, len(document)).Draw(t, "cut"); rapid.Bool().Draw(t, "rotated") {
			document = append(bytes.Clone(document[cut:]), document[:cut]...)
		}
		encoded, err := Encode(base, document)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(base, encoded, Checksum(document), maxDocumentBytes)
		if err != nil || !bytes.Equal(decoded, document) {
			t.Errorf("decoded %d bytes of %d, error %v", len(decoded), len(document), err)
		}
	})
}

// TestSmallChangeOfLargeDocument checks that the base is used over its whole length.
func TestSmallChangeOfLargeDocument(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	var base []byte
	for len(base) < 4<<20 {
		base = fmt.Appendf(base, "{\"Host\":\"%06x.example\",\"PathPrefix\":\"/%08x/\"},", r.IntN(1<<24), r.Uint32())
	}
	document := append([]byte("new"), base...)
	encoded, err := Encode(base, document)
	if err != nil {
		t.Fatal(err)
	}
	if limit := len(document) / 100; len(encoded) > limit {
		t.Errorf("%d bytes for three more, at most %d expected", len(encoded), limit)
	}
}

func TestDecodeRefuses(t *testing.T) {
	base, document := bytes.Repeat([]byte("base "), 100), bytes.Repeat([]byte("document "), 100)
	encoded, err := Encode(base, document)
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]func() ([]byte, error){
		"another base": func() ([]byte, error) {
			return Decode(bytes.Repeat([]byte("other"), 100), encoded, Checksum(document), maxDocumentBytes)
		},
		"no base": func() ([]byte, error) { return Decode(nil, encoded, Checksum(document), maxDocumentBytes) },
		"a part": func() ([]byte, error) {
			return Decode(base, encoded[:len(encoded)-1], Checksum(document), maxDocumentBytes)
		},
		"no bytes":   func() ([]byte, error) { return Decode(base, nil, Checksum(document), maxDocumentBytes) },
		"a checksum": func() ([]byte, error) { return Decode(base, encoded, 1, maxDocumentBytes) },
		"its length": func() ([]byte, error) { return Decode(base, encoded, Checksum(document), 100) },
	}
	for name, decode := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := decode()
			if !errors.As(err, &ErrDecode{}) {
				t.Errorf("got %q, error %v", got, err)
			}
			if diff := cmp.Diff([]byte(nil), got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

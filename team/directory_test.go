package team

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func define(name string, keys ...string) Definition {
	return Definition{Team: Team{Name: name, Urgency: 1, HasUrgency: true, Cap: Cap{PerSecond: 10, Burst: 5}}, APIKeys: keys}
}

// TestLookup guards against a key that names the wrong team.
func TestLookup(t *testing.T) {
	d, err := NewDirectory([]Definition{define("press", "k1", "k2"), define("shops", "k3")})
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]string{}
	for _, key := range []string{"k1", "k2", "k3", "k4", "", "K1"} {
		if found, ok := d.Lookup(key); ok {
			got[key] = found.Name
		}
	}
	if diff := cmp.Diff(map[string]string{"k1": "press", "k2": "press", "k3": "shops"}, got); diff != "" {
		t.Error(diff)
	}
}

// TestInvalidDirectories guards against ambiguous keys, and against errors that contain a key.
func TestInvalidDirectories(t *testing.T) {
	negative := define("press", "secret-key")
	negative.Cap.PerSecond = -1
	for name, definitions := range map[string][]Definition{
		"shared key": {define("press", "secret-key"), define("shops", "secret-key")}, "same name": {define("press", "secret-key"), define("press", "k2")},
		"no name": {define("", "secret-key")}, "empty key": {define("press", "secret-key", "")}, "negative rate": {negative},
	} {
		_, err := NewDirectory(definitions)
		if !IsErrInvalid(err) && !IsErrSharedKey(err) {
			t.Errorf("%s: %v", name, err)
		} else if strings.Contains(err.Error(), "secret-key") {
			t.Errorf("%s: the error contains a key: %v", name, err)
		}
	}
}

// TestAmount guards against requests that are counted by the wrong unit.
func TestAmount(t *testing.T) {
	tokens := Cap{CountsTokens: true, PlainTokens: 200}
	if got := []float64{tokens.Amount(1540), tokens.Amount(0), Cap{}.Amount(1540)}; !cmp.Equal(got, []float64{1540, 200, 1}) {
		t.Error(got)
	}
}

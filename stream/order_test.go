package stream

import "testing"

func TestFollows(t *testing.T) {
	tests := []struct {
		previous, id string
		want         bool
	}{
		{"", "1", true}, {"1", "2", true}, {"1", "5", true}, {"9", "10", true}, {"2", "2", false}, {"2", "1", false}, {"10", "9", false},
		{"1", "", true}, {"a", "b", true}, {"b", "a", true}, {"a", "a", false}, {"1", "a", true}, {"99999999999999999999", "1", true},
	}
	for _, test := range tests {
		if got := Follows(test.previous, test.id); got != test.want {
			t.Errorf("%q after %q: %t", test.id, test.previous, got)
		}
	}
}

func TestGoesOn(t *testing.T) {
	tests := []struct {
		first        string
		count        int
		previous, id string
		want         bool
	}{
		{"", 0, "", "", true}, {"", 0, "", "5", true}, {"7", 0, "7", "8", true}, {"7", 0, "7", "9", true}, {"7", 0, "7", "7", false}, {"7", 0, "7", "", false},
		{"", 2, "2", "3", true}, {"", 2, "2", "4", false}, {"", 2, "2", "2", false}, {"", 2, "2", "", false}, {"7", 2, "9", "10", true}, {"7", 2, "9", "11", false},
		{"", 2, "5", "9", true}, {"", 1, "1", "3", true}, {"a", 2, "2", "4", true}, {"", 2, "b", "a", true},
	}
	for _, test := range tests {
		if got := GoesOn(test.first, test.count, test.previous, test.id); got != test.want {
			t.Errorf("%q after %d events from %q to %q: %t", test.id, test.count, test.first, test.previous, got)
		}
	}
}

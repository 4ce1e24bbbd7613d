package catalog

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestRepeatable(t *testing.T) {
	service := Service{
		Name: "desk", Kind: KindPlain, NonIdempotent: []string{"GET /ring", "PUT /vans"}, Idempotent: []string{"POST /search"},
	}
	tests := []struct {
		method, path string
		want         bool
	}{
		{"GET", "/stock", true},
		{"PUT", "/stock", true},
		{"DELETE", "/stock", true},
		{"POST", "/bookings", false},
		{"PATCH", "/bookings", false},
		{"POST", "/search", true},
		{"POST", "/search/", false},
		{"PATCH", "/search", false},
		{"GET", "/ring", false},
		{"GET", "/ring/", false},
		{"GET", "/a/../ring", false},
		{"PUT", "/vans", false},
	}
	for _, test := range tests {
		if diff := cmp.Diff(test.want, service.Repeatable(test.method, test.path)); diff != "" {
			t.Errorf("%s %s: %s", test.method, test.path, diff)
		}
	}
}

func TestServiceRejectsInvalidCalls(t *testing.T) {
	tests := []struct {
		name    string
		service Service
	}{
		{"listed as both", Service{Name: "desk", Kind: KindPlain, NonIdempotent: []string{"POST /a"}, Idempotent: []string{"POST /a"}}},
		{"not a call", Service{Name: "desk", Kind: KindPlain, Idempotent: []string{"a"}}},
		{"on a model service", Service{Name: "desk", Kind: KindModel, Idempotent: []string{"POST /a"}}},
	}
	for _, test := range tests {
		if err := (Catalog{Services: []Service{test.service}}).Validate(); !IsErrValueInvalid(err) {
			t.Errorf("%s: got %v", test.name, err)
		}
	}
}

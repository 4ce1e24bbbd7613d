package web

import "testing"

func TestGuard(t *testing.T) {
	guard := NewGuard(map[string]string{"kit": "secret-1", "ann": "secret-2"})
	tests := []struct{ name, authorization, want string }{
		{"first", "Bearer secret-1", "kit"},
		{"second", "Bearer secret-2", "ann"},
		{"none", "", ""},
		{"wrong", "Bearer secret-3", ""},
		{"prefix of one", "Bearer secret-", ""},
		{"no scheme", "secret-1", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := guard.operator(test.authorization); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
	if got := NewGuard(nil).operator(""); got != defaultOperator {
		t.Errorf("without tokens got %q", got)
	}
}

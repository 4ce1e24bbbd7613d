package jsonc

import (
	"bytes"
	"strings"
	"testing"
)

// TestOversizedDocumentsAreRejected decodes documents that would overflow the parser's stack or exhaust memory. Each must be
// reported as exactly one problem.
func TestOversizedDocumentsAreRejected(t *testing.T) {
	deep := func(opening, closing string) []byte {
		return []byte(strings.Repeat(opening, MaxDepth+1) + strings.Repeat(closing, MaxDepth+1))
	}
	tests := map[string]struct {
		data []byte
		want string
	}{
		"10 MB of opening braces": {bytes.Repeat([]byte("{"), 10<<20), "nested deeper"},
		"10 MB of open lists":     {bytes.Repeat([]byte("["), 10<<20), "nested deeper"},
		"10 MB of nested members": {bytes.Repeat([]byte(`{"a":`), 2<<20), "nested deeper"},
		"closed lists":            {deep("[", "]"), "nested deeper"},
		"behind comments":         {append([]byte("/* } */ // ]\n"), deep("{\"}\":", "}")...), "nested deeper"},
		"too long":                {bytes.Repeat([]byte(" "), MaxBytes+1), "bytes"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var into struct{ A int }
			problems := Decode(test.data, &into)
			if len(problems) != 1 || !strings.Contains(problems[0].Value, test.want) {
				t.Errorf("%d problems: %.200v", len(problems), problems)
			}
		})
	}
}

// TestBracesInStringsAndComments checks that braces in strings and comments don't count towards the nesting depth.
func TestBracesInStringsAndComments(t *testing.T) {
	braces := strings.Repeat("{[", 2*MaxDepth)
	var into struct{ A string }
	if problems := Decode([]byte("// "+braces+"\n{/* "+braces+" */ \"A\": \""+braces+"\\\""+braces+"\"}"), &into); len(problems) != 0 {
		t.Errorf("%.300v", problems)
	}
}

// FuzzDecode looks for documents on which Decode panics.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{"{", "[[[[", `{"A":1}`, "/*", `"\\`, "{//}\n}", strings.Repeat("{\"A\":", MaxDepth)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var into struct {
			A int
			B []struct{ C map[string]string }
		}
		Decode(data, &into)
	})
}

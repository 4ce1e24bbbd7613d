package jsonc

import (
	"bytes"
	"strings"
	"testing"
)

// TestHostileDocuments decodes what would overflow the parser's stack or the memory: each is one clear problem.
func TestHostileDocuments(t *testing.T) {
	deep := func(open, end string) []byte {
		return []byte(strings.Repeat(open, MaxDepth+1) + strings.Repeat(end, MaxDepth+1))
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

// TestBracesInTextDontNest decodes a document whose strings and comments are full of braces.
func TestBracesInTextDontNest(t *testing.T) {
	many := strings.Repeat("{[", 2*MaxDepth)
	var into struct{ A string }
	if problems := Decode([]byte("// "+many+"\n{/* "+many+" */ \"A\": \""+many+"\\\""+many+"\"}"), &into); len(problems) != 0 {
		t.Errorf("%.300v", problems)
	}
}

// FuzzDecode looks for documents that panic.
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

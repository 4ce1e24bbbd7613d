package jsonc

import "strconv"

const (
	// MaxBytes limits the size of a document. A catalog of the largest planned size, 12,000 adapters, takes less than 4 MB.
	MaxBytes = 16 << 20
	// MaxDepth limits the nesting depth of objects and arrays. The parser is recursive, so a few MB of opening braces would
	// crash the process with a stack overflow. Settings and catalogs are nested less than ten levels deep.
	MaxDepth = 100
)

// checkLimits reports whether a document is small and flat enough to be parsed, and otherwise the problem.
func checkLimits(data []byte) (Problem, bool) {
	if len(data) > MaxBytes {
		return Problem{
			Key: "the file", Value: strconv.Itoa(len(data)) + " bytes", Allowed: "at most " + strconv.Itoa(MaxBytes) + " bytes",
		}, false
	}
	if depth(data) > MaxDepth {
		return Problem{
			Key: "the file", Value: "nested deeper than " + strconv.Itoa(MaxDepth), Allowed: "at most " + strconv.Itoa(MaxDepth) + " levels",
		}, false
	}
	return Problem{}, true
}

// depth returns the nesting depth of objects and arrays, ignoring strings and comments. It stops counting above MaxDepth.
func depth(data []byte) int {
	deepest, current := 0, 0
	for i := 0; i < len(data) && deepest <= MaxDepth; i++ {
		switch c := data[i]; {
		case c == '"':
			i = stringEnd(data, i)
		case c == '/' && i+1 < len(data) && data[i+1] == '/':
			for i < len(data) && data[i] != '\n' {
				i++
			}
		case c == '/' && i+1 < len(data) && data[i+1] == '*':
			i = commentEnd(data, i)
		case c == '{' || c == '[':
			current++
			deepest = max(deepest, current)
		case c == '}' || c == ']':
			current--
		}
	}
	return deepest
}

// stringEnd returns the index of the closing quote of the string that starts at i.
func stringEnd(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// commentEnd returns the index of the last byte of the block comment that starts at i.
func commentEnd(data []byte, i int) int {
	for i += 2; i+1 < len(data); i++ {
		if data[i] == '*' && data[i+1] == '/' {
			return i + 1
		}
	}
	return len(data)
}

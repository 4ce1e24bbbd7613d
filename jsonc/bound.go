package jsonc

import "strconv"

const (
	// MaxBytes bounds a document; catalogs of the largest size planned for, 12,000 adapters, take under 4 MB.
	MaxBytes = 16 << 20
	// MaxDepth bounds how deep objects and lists nest: the parser calls itself for each, and a document of a few MB of opening
	// braces would end the process by a stack overflow. Settings and catalogs nest less than ten deep.
	MaxDepth = 100
)

// bounded tells whether a document may be parsed, and if not, why.
func bounded(data []byte) (Problem, bool) {
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

// depth returns how deep objects and lists nest, outside of strings and comments; it stops above MaxDepth.
func depth(data []byte) int {
	deepest, now := 0, 0
	for i := 0; i < len(data) && deepest <= MaxDepth; i++ {
		switch c := data[i]; {
		case c == '"':
			i = afterString(data, i)
		case c == '/' && i+1 < len(data) && data[i+1] == '/':
			for i < len(data) && data[i] != '\n' {
				i++
			}
		case c == '/' && i+1 < len(data) && data[i+1] == '*':
			i = afterComment(data, i)
		case c == '{' || c == '[':
			now++
			deepest = max(deepest, now)
		case c == '}' || c == ']':
			now--
		}
	}
	return deepest
}

// afterString returns the index of the quote that ends the string at i.
func afterString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// afterComment returns the index of the last byte of the comment at i.
func afterComment(data []byte, i int) int {
	for i += 2; i+1 < len(data); i++ {
		if data[i] == '*' && data[i+1] == '/' {
			return i + 1
		}
	}
	return len(data)
}

// Package jsonc decodes JSON with comments and trailing commas into structs and
// reports every unknown, repeated or mistyped key, not only the first.
package jsonc

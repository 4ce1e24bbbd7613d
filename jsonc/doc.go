// Package jsonc decodes JSON with comments and trailing commas into structs and
// reports every unknown, repeated or mistyped key instead of only the first.
package jsonc

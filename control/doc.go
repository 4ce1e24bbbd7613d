// Package control holds the duties of a control member: it applies the
// replicated log, plans loads, serves watch streams and answers operators.
package control

// Package examples contains example settings and catalogs and a test that checks all of them.
package examples

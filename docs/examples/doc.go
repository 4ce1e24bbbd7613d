// Package examples holds settings and catalogs to start from; its test checks them all.
package examples

// Package control implements a control member: it applies the replicated log, plans replica loads, serves
// watch streams and handles operator requests.
package control

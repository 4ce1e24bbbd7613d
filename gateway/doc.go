// Package gateway takes clients' requests on a platform deployment, chooses an
// endpoint for each, repeats what may be repeated, and passes the answers back.
// How requests and answers look on the wire is package platform's.
package gateway

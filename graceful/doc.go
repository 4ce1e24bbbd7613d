// Package graceful serves HTTP and counts the connections that the server closes although a request on them has no response.
package graceful

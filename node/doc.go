// Package node runs the roles configured in a process's settings and shuts them down in order.
package node

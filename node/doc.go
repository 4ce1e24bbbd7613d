// Package node starts the roles that a process's settings name and stops them in order.
package node

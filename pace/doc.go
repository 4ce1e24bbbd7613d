// Package pace estimates the speeds of endpoints from the times between the events of their streams.
package pace

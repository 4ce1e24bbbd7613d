// Package fleet keeps the state of endpoints and their replicas: incarnations, replica states, memory reservations and
// fencing tokens.
package fleet

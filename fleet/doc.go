// Package fleet is the aggregate of endpoints and their replicas: incarnations,
// replica states, memory reservations and fencing numbers.
package fleet

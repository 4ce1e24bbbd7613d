// Package traffic sends a bounded number of requests of every kind to a deployment with simulated endpoints,
// and checks every answer and every run.
package traffic

// Package scaling is the autoscaling policy for model replicas on a platform
// deployment. It turns the demand seen by gateways and the reports of endpoints
// into orders to load and unload models, one order per endpoint at a time. It
// performs no I/O and is designed for workloads in which demand moves between
// models within seconds.
package scaling

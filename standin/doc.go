// Package standin provides simulated HTTP servers for the external systems: a model engine, a plain service, the
// weight store and the platform's list of VMs. The faults that each one injects can be changed while it runs.
package standin

// Package standin holds small HTTP stand-ins for the outside systems: a model
// engine, a plain service, the weight store and the platform's list of VMs,
// each with faults that can be set while it runs.
package standin

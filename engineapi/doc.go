// Package engineapi defines the published HTTP protocols of the external systems: model engines, the weight
// store and the platform's list of VMs.
package engineapi

// Package engineapi holds the published HTTP protocols of the outside systems:
// model engines, the weight store and the platform's list of VMs.
package engineapi

// Package catalog defines the operator's configuration: services, models,
// adapters, endpoint properties and presets, as one immutable, versioned value.
package catalog

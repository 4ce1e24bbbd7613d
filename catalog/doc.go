// Package catalog holds what operators configure: services, models, adapters,
// endpoints' facts and presets, as one immutable value with a version.
package catalog

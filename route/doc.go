// Package route is the aggregate of what operators configure on a platform
// deployment: routes, services with their models, and limits, as one immutable
// table with a version. It decides nothing about endpoints and does no I/O.
package route

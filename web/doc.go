// Package web holds the HTTP handlers: the callers' API, the operators' API,
// dumps and metrics. Handlers parse, call a service and render.
package web

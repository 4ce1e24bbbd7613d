// Package web contains the HTTP handlers of the caller API, the operator API,
// the state dump and the metrics. Handlers only parse requests, call the entry
// or control member and render the result.
package web

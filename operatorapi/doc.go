// Package operatorapi defines the HTTP protocol between an
// operator's client and a control member: paths, headers and bodies.
package operatorapi

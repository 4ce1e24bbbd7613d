// Package setting loads a process's settings from JSON with comments and
// validates all of them before anything is started.
package setting

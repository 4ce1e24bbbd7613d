// Package setting reads a process's settings, JSON with comments, and checks
// them whole before anything starts.
package setting

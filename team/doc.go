// Package team knows the teams of callers: their API keys, urgency and caps. It does no I/O and reads no clock.
package team

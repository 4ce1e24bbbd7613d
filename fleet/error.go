package fleet

import (
	"errors"
	"strconv"
)

// ErrEndpointNotUsable tells that an endpoint is unknown, leaving or of another incarnation.
type ErrEndpointNotUsable struct{ Endpoint string }

// Error implements error.
func (e ErrEndpointNotUsable) Error() string {
	return "endpoint " + e.Endpoint + " is unknown, leaving or of another incarnation"
}

// IsErrEndpointNotUsable reports whether err holds an ErrEndpointNotUsable.
func IsErrEndpointNotUsable(err error) bool {
	var target ErrEndpointNotUsable
	return errors.As(err, &target)
}

// ErrReplicaLimit tells that a model has all replicas that were allowed.
type ErrReplicaLimit struct {
	Model string
	Limit int
}

// Error implements error.
func (e ErrReplicaLimit) Error() string {
	return "model " + e.Model + " already has " + strconv.Itoa(e.Limit) + " replicas"
}

// IsErrReplicaLimit reports whether err holds an ErrReplicaLimit.
func IsErrReplicaLimit(err error) bool {
	var target ErrReplicaLimit
	return errors.As(err, &target)
}

// ErrReplicaExists tells that an endpoint already holds a model's version.
type ErrReplicaExists struct {
	Endpoint string
	Model    string
	Version  string
}

// Error implements error.
func (e ErrReplicaExists) Error() string {
	return "endpoint " + e.Endpoint + " already has a replica of " + e.Model + "@" + e.Version
}

// IsErrReplicaExists reports whether err holds an ErrReplicaExists.
func IsErrReplicaExists(err error) bool {
	var target ErrReplicaExists
	return errors.As(err, &target)
}

// ErrMemoryExceeded tells that an endpoint lacks the memory for a replica.
type ErrMemoryExceeded struct {
	Endpoint string
	WantMB   uint64
}

// Error implements error.
func (e ErrMemoryExceeded) Error() string {
	return "endpoint " + e.Endpoint + " has no " + strconv.FormatUint(e.WantMB, 10) + " MB left"
}

// IsErrMemoryExceeded reports whether err holds an ErrMemoryExceeded.
func IsErrMemoryExceeded(err error) bool {
	var target ErrMemoryExceeded
	return errors.As(err, &target)
}

// ErrReportOld tells that a later report of the same agent was taken already.
type ErrReportOld struct {
	Endpoint string
	Sequence uint64
}

// Error implements error.
func (e ErrReportOld) Error() string {
	return "report " + strconv.FormatUint(e.Sequence, 10) + " of endpoint " + e.Endpoint + " is older than the last one taken"
}

// IsErrReportOld reports whether err holds an ErrReportOld.
func IsErrReportOld(err error) bool {
	var target ErrReportOld
	return errors.As(err, &target)
}

// ErrInvariant is what the aggregate panics with when its own rules are broken.
type ErrInvariant struct {
	Endpoint string
	Rule     string
}

// Error implements error.
func (e ErrInvariant) Error() string { return "endpoint " + e.Endpoint + ": " + e.Rule }

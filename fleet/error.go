package fleet

import (
	"errors"
	"strconv"
)

// ErrEndpointUnavailable is returned when an endpoint is unknown, leaving, silent or registered under another
// incarnation.
type ErrEndpointUnavailable struct{ Endpoint string }

// Error implements error.
func (e ErrEndpointUnavailable) Error() string {
	return "endpoint " + e.Endpoint + " is unknown, leaving or of another incarnation"
}

// IsErrEndpointUnavailable reports whether err wraps an ErrEndpointUnavailable.
func IsErrEndpointUnavailable(err error) bool {
	var target ErrEndpointUnavailable
	return errors.As(err, &target)
}

// ErrReplicaLimit is returned when a model already has the maximum number of replicas.
type ErrReplicaLimit struct {
	Model string
	Limit int
}

// Error implements error.
func (e ErrReplicaLimit) Error() string {
	return "model " + e.Model + " already has " + strconv.Itoa(e.Limit) + " replicas"
}

// IsErrReplicaLimit reports whether err wraps an ErrReplicaLimit.
func IsErrReplicaLimit(err error) bool {
	var target ErrReplicaLimit
	return errors.As(err, &target)
}

// ErrReplicaExists is returned when an endpoint already has a replica of the same model version.
type ErrReplicaExists struct {
	Endpoint string
	Model    string
	Version  string
}

// Error implements error.
func (e ErrReplicaExists) Error() string {
	return "endpoint " + e.Endpoint + " already has a replica of " + e.Model + "@" + e.Version
}

// IsErrReplicaExists reports whether err wraps an ErrReplicaExists.
func IsErrReplicaExists(err error) bool {
	var target ErrReplicaExists
	return errors.As(err, &target)
}

// ErrMemoryExceeded is returned when an endpoint has too little free memory for a replica.
type ErrMemoryExceeded struct {
	Endpoint string
	WantMB   uint64
}

// Error implements error.
func (e ErrMemoryExceeded) Error() string {
	return "endpoint " + e.Endpoint + " has no " + strconv.FormatUint(e.WantMB, 10) + " MB left"
}

// IsErrMemoryExceeded reports whether err wraps an ErrMemoryExceeded.
func IsErrMemoryExceeded(err error) bool {
	var target ErrMemoryExceeded
	return errors.As(err, &target)
}

// ErrStaleReport is returned when a report is not newer than the last one applied.
type ErrStaleReport struct {
	Endpoint string
	Sequence uint64
}

// Error implements error.
func (e ErrStaleReport) Error() string {
	return "report " + strconv.FormatUint(e.Sequence, 10) + " of endpoint " + e.Endpoint + " is older than the last one taken"
}

// IsErrStaleReport reports whether err wraps an ErrStaleReport.
func IsErrStaleReport(err error) bool {
	var target ErrStaleReport
	return errors.As(err, &target)
}

// ErrInvariant is the panic value for a violated invariant of the fleet.
type ErrInvariant struct {
	Endpoint string
	Rule     string
}

// Error implements error.
func (e ErrInvariant) Error() string { return "endpoint " + e.Endpoint + ": " + e.Rule }

package operatorapi

// Paths of the operator API.
const (
	PathCatalog  = "/operator/v1/catalog"
	PathChanges  = "/operator/v1/changes"
	PathPreset   = "/operator/v1/preset"
	PathMembers  = "/operator/v1/members"
	PathWait     = "/operator/v1/wait"
	PathHistory  = "/operator/v1/history"
	PathDiff     = "/operator/v1/diff"
	PathRollback = "/operator/v1/rollback"
	PathState    = "/debug/state"
)

// Query parameters of the operator API.
const (
	QueryVersion   = "version"
	QueryTimeoutMS = "timeout_ms"
	QueryFrom      = "from"
	QueryTo        = "to"
)

// Headers of a change; a resend under one operation id gets the first answer.
const (
	HeaderOperationID = "Operation-Id"
	HeaderIfMatch     = "If-Match"
)

// ContentTypeProblem marks a body as a Problem.
const ContentTypeProblem = "application/problem+json"

// Accepted answers a change once it is committed.
type Accepted struct {
	Version uint64
}

// PresetChange asks for another preset in force.
type PresetChange struct {
	Preset string
}

// Rollback asks for the values of an earlier version, under a new one.
type Rollback struct {
	Version uint64
}

// InForce answers a wait: Waiting names the nodes that haven't confirmed yet.
type InForce struct {
	Version uint64
	InForce bool
	Waiting []string
}

// Problem is a refusal as RFC 9457 has it, with members of its own in Pascal case.
type Problem struct {
	Type           string `json:"type,omitempty"`
	Title          string `json:"title"`
	Status         int    `json:"status"`
	Detail         string `json:"detail,omitempty"`
	Code           string `json:",omitempty"`
	CurrentVersion uint64 `json:",omitempty"`
	Holder         string `json:",omitempty"`
}

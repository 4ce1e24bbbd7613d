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

// Headers of a change. A resend with the same operation ID receives the first response.
const (
	HeaderOperationID = "Operation-Id"
	HeaderIfMatch     = "If-Match"
)

// ContentTypeProblem is the content type of a Problem.
const ContentTypeProblem = "application/problem+json"

// Accepted is the response to a change after its commit.
type Accepted struct {
	Version uint64
}

// PresetChange is a request to activate another preset.
type PresetChange struct {
	Preset string
}

// Rollback is a request to restore the values of an earlier version as a new version.
type Rollback struct {
	Version uint64
}

// InForce is the response to a wait. Waiting contains the nodes that have not confirmed the version yet.
type InForce struct {
	Version uint64
	InForce bool
	Waiting []string
}

// Problem is an error response according to RFC 9457, with extension members in Pascal case.
type Problem struct {
	Type           string `json:"type,omitempty"`
	Title          string `json:"title"`
	Status         int    `json:"status"`
	Detail         string `json:"detail,omitempty"`
	Code           string `json:",omitempty"`
	CurrentVersion uint64 `json:",omitempty"`
	Holder         string `json:",omitempty"`
}

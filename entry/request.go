package entry

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocksaddle/admission"
	"burdocksaddle/wirepb"
)

// Request is one caller's request, checked.
type Request struct {
	ID string
	// Caller is who takes turns and has limits.
	Caller string
	// Scope is whose keys are told apart: the caller's name, or empty where
	// callers are known by their addresses only, which change behind a balancer.
	Scope       string
	Service     string
	Model       string
	Adapter     string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Stream      bool
	Deadline    time.Time
	// Urgency is 0 for live callers to 7 for drafts, as in RFC 9218.
	Urgency int
	// Key is the idempotency key; KeyGiven tells that the caller chose it, so that it may be a resend's.
	Key      string
	KeyGiven bool
	// Prefix numbers the prompt's prefix; 0 is none.
	Prefix uint64
	// Repeatable requests may be tried again elsewhere.
	Repeatable bool
}

func (r Request) queue() string {
	if r.Model != "" {
		return modelQueue + r.Model
	}
	return serviceQueue + r.Service
}

// mayBeResend tells that an earlier send of the same request may have run.
func (r Request) mayBeResend() bool { return !r.Repeatable && r.KeyGiven }

const (
	modelQueue   = "model/"
	serviceQueue = "service/"
)

// bodyHash tells whether a key is used for the same request again.
func (r Request) bodyHash() uint64 {
	hash := xxhash.New()
	for _, part := range []string{r.Method, r.Path} {
		_, _ = hash.WriteString(part + "\x00")
	}
	_, _ = hash.Write(r.Body)
	return hash.Sum64()
}

// Sink takes an answer: Start once, then its parts in order.
type Sink struct {
	Start func(status int, contentType string) error
	Part  func(data []byte) error
}

// Codes of refusals by an entry.
const (
	CodeModelNotExist    = "ModelNotExist"
	CodeAdapterNotExist  = "AdapterNotExist"
	CodeServiceNotExist  = "ServiceNotExist"
	CodeDeadlinePassed   = "DeadlinePassed"
	CodeDeadlineTooShort = "DeadlineTooShort"
	CodeNoReplica        = "NoReplica"
	CodeQueueFull        = "QueueFull"
	CodeNoLease          = "NoLease"
	CodeStopping         = "Stopping"
	CodeCallerLimit      = "CallerLimit"
	CodeDraftsRefused    = "DraftsRefused"
	CodeNoQuorum         = "NoQuorum"
	CodeEndpointLost     = "EndpointLost"
	CodeKeyReused        = "KeyReused"
	CodeOutcomeUnknown   = "OutcomeUnknown"
	CodeAnswerNotKept    = "AnswerNotKept"
	CodeAnswerTooLarge   = "AnswerTooLarge"
	CodeCallerLeft       = "CallerLeft"
)

// ErrRefused tells that a request got no whole answer, and whether it ran.
type ErrRefused struct {
	Code   string
	Run    wirepb.Run
	Detail string
	// RetryAfter tells the caller when to come back; 0 gives no advice.
	RetryAfter time.Duration
}

// Error implements error.
func (e ErrRefused) Error() string { return "refused: " + e.Code + ": " + e.Detail }

// AsErrRefused returns the refusal in an error.
func AsErrRefused(err error) (ErrRefused, bool) {
	var refused ErrRefused
	ok := errors.As(err, &refused)
	return refused, ok
}

func refuse(code, detail string) ErrRefused {
	return ErrRefused{Code: code, Run: wirepb.Run_RUN_NOT_RUN, Detail: detail, RetryAfter: spread()}
}

// spread parts callers that were refused at the same time.
func spread() time.Duration {
	return leastAgain + time.Duration(rand.Int64N(int64(spreadAgain)))
}

const (
	leastAgain  = time.Second
	spreadAgain = 2 * time.Second
)

func unknown(code, detail string) ErrRefused {
	return ErrRefused{Code: code, Run: wirepb.Run_RUN_UNKNOWN, Detail: detail, RetryAfter: spread()}
}

var admissionCodes = map[admission.Reason]string{
	admission.ReasonDeadlinePassed: CodeDeadlinePassed, admission.ReasonDeadlineTooShort: CodeDeadlineTooShort,
	admission.ReasonForecast: CodeNoReplica, admission.ReasonQueueFull: CodeQueueFull,
	admission.ReasonCallerRate: CodeCallerLimit, admission.ReasonCallerConcurrency: CodeCallerLimit,
	admission.ReasonDrafts: CodeDraftsRefused,
}

var admissionDetails = map[admission.Reason]string{
	admission.ReasonDeadlinePassed:    "the deadline had passed before the request was taken",
	admission.ReasonDeadlineTooShort:  "the request can't be answered by its deadline",
	admission.ReasonForecast:          "no endpoint can hold the model now",
	admission.ReasonQueueFull:         "too many requests wait",
	admission.ReasonCallerRate:        "the caller sends more requests a second than it may",
	admission.ReasonCallerConcurrency: "the caller has more requests open than it may",
	admission.ReasonDrafts:            "the preset in force refuses drafts",
}

// refusedBy turns an admission's refusal into one for the caller.
func refusedBy(err error) error {
	refused, ok := admission.AsErrRefused(err)
	if !ok {
		return err
	}
	return ErrRefused{
		Code: admissionCodes[refused.Reason], Run: wirepb.Run_RUN_NOT_RUN,
		Detail: admissionDetails[refused.Reason], RetryAfter: refused.RetryAfter,
	}
}

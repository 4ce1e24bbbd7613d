package entry

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocksaddle/admission"
	"burdocksaddle/wirepb"
)

// Request is a validated request from a caller.
type Request struct {
	ID string
	// Caller identifies the caller for fair queueing and per-caller limits.
	Caller string
	// KeyScope is the namespace of idempotency keys: the caller's name, or empty if
	// callers are only known by address, which may change behind a load balancer.
	KeyScope    string
	Service     string
	Model       string
	Adapter     string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Stream      bool
	Deadline    time.Time
	// Urgency is the priority as in RFC 9218, from 0 for interactive requests to 7 for drafts.
	Urgency int
	// IdempotencyKey is the idempotency key. KeyFromCaller reports whether the caller chose it; only then can the request be a retry
	// by the caller.
	IdempotencyKey string
	KeyFromCaller  bool
	// PromptPrefix identifies the prompt prefix; 0 means none.
	PromptPrefix uint64
	// Repeatable reports whether the request may be retried at another endpoint.
	Repeatable bool
}

func (r Request) queueName() string {
	if r.Model != "" {
		return modelQueue + r.Model
	}
	return serviceQueue + r.Service
}

// mayBeCallerRetry reports whether this may be a caller's retry of a request that has already run.
func (r Request) mayBeCallerRetry() bool { return !r.Repeatable && r.KeyFromCaller }

const (
	modelQueue   = "model/"
	serviceQueue = "service/"
)

// requestHash returns a hash of the method, path and body. It detects an idempotency key that is reused for a different
// request.
func (r Request) requestHash() uint64 {
	hash := xxhash.New()
	for _, part := range []string{r.Method, r.Path} {
		_, _ = hash.WriteString(part + "\x00")
	}
	_, _ = hash.Write(r.Body)
	return hash.Sum64()
}

// Sink receives a response: Start is called once, then Chunk for each chunk in order.
type Sink struct {
	Start func(status int, contentType string) error
	Chunk func(data []byte) error
}

// Error codes of refusals by an entry.
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
	CodeStopped          = "Stopped"
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

// ErrRefused is returned for a request without a complete response. Run states whether the request ran.
type ErrRefused struct {
	Code   string
	Run    wirepb.Run
	Detail string
	// RetryAfter is the suggested delay before a retry; 0 means no suggestion.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e ErrRefused) Error() string { return "refused: " + e.Code + ": " + e.Detail }

// AsErrRefused returns the ErrRefused in the error's chain, if any.
func AsErrRefused(err error) (ErrRefused, bool) {
	var refused ErrRefused
	ok := errors.As(err, &refused)
	return refused, ok
}

// ErrStopping is the cause with which a request's context ends if the entry stops before the request has its response.
type ErrStopping struct{}

// Error implements the error interface.
func (ErrStopping) Error() string { return "the entry is stopping" }

// IsErrStopping reports whether an error is an ErrStopping.
func IsErrStopping(err error) bool {
	var stopping ErrStopping
	return errors.As(err, &stopping)
}

// notRunRefusal returns a refusal of a request that did not run.
func notRunRefusal(code, detail string) ErrRefused {
	return ErrRefused{Code: code, Run: wirepb.Run_RUN_NOT_RUN, Detail: detail, RetryAfter: retryDelay()}
}

// retryDelay returns a randomized retry delay, so that callers refused at the same time don't retry at the same time.
func retryDelay() time.Duration {
	return minRetryDelay + time.Duration(rand.Int64N(int64(retryJitter)))
}

const (
	minRetryDelay = time.Second
	retryJitter   = 2 * time.Second
)

// unknownRefusal returns a refusal of a request that may have run.
func unknownRefusal(code, detail string) ErrRefused {
	return ErrRefused{Code: code, Run: wirepb.Run_RUN_UNKNOWN, Detail: detail, RetryAfter: retryDelay()}
}

var admissionCodes = map[admission.Reason]string{
	admission.ReasonDeadlinePassed: CodeDeadlinePassed, admission.ReasonDeadlineTooShort: CodeDeadlineTooShort,
	admission.ReasonNoReplica: CodeNoReplica, admission.ReasonQueueFull: CodeQueueFull,
	admission.ReasonCallerRate: CodeCallerLimit, admission.ReasonCallerConcurrency: CodeCallerLimit,
	admission.ReasonDrafts: CodeDraftsRefused,
}

var admissionDetails = map[admission.Reason]string{
	admission.ReasonDeadlinePassed:    "the deadline had passed before the request was taken",
	admission.ReasonDeadlineTooShort:  "the request can't be answered by its deadline",
	admission.ReasonNoReplica:         "no endpoint can hold the model now",
	admission.ReasonQueueFull:         "too many requests wait",
	admission.ReasonCallerRate:        "the caller sends more requests a second than it may",
	admission.ReasonCallerConcurrency: "the caller has more requests open than it may",
	admission.ReasonDrafts:            "the preset in force refuses drafts",
}

// admissionRefusal converts a refusal by the admission package to an ErrRefused.
func admissionRefusal(err error) error {
	refused, ok := admission.AsErrRefused(err)
	if !ok {
		return err
	}
	return ErrRefused{
		Code: admissionCodes[refused.Reason], Run: wirepb.Run_RUN_NOT_RUN,
		Detail: admissionDetails[refused.Reason], RetryAfter: refused.RetryAfter,
	}
}

package gateway

import (
	"net/http"
	"time"
)

// Request is one attempt of a client, decoded.
type Request struct {
	ID   string
	Host string
	Path string
	// Model and Adapter are empty for a plain service.
	Model   string
	Adapter string
	// Prefix numbers the shared part of the prompt; 0 is none.
	Prefix uint64
	// PromptTokens and MaxTokens are the size by the client's word.
	PromptTokens int
	MaxTokens    int
	// Patience is how long the client will wait; 0 if it did not say.
	Patience time.Duration
	// LastEvent is the last event of a stream that the client has, empty for none.
	LastEvent string
	// Arrived is when the request was read whole.
	Arrived time.Time
	// Wire is the request as it came, which the sender passes on.
	Wire *http.Request
	Body []byte
}

// Call is one sending of a request to an endpoint.
type Call struct {
	Request *Request
	// Endpoint and Address name who shall run it.
	Endpoint string
	Address  string
	// Remaining is the time that is left for the whole answer.
	Remaining time.Duration
	LastEvent string
	Stream    bool
	// Urgency ranks requests at an endpoint; 0 is the most urgent.
	Urgency int
}

// Answer is an endpoint's answer; a stream's events follow by Next.
type Answer struct {
	Status int
	Header http.Header
	// NotRun tells that the endpoint certainly did not run the request; Elsewhere that it doesn't hold what was asked for.
	NotRun    bool
	Elsewhere bool
	// Signed tells that the answer bears the endpoint's signature.
	Signed bool
	Body   []byte
	// Next returns a stream's next whole event and its id; io.EOF tells that the endpoint ended the stream. Nil for an answer
	// that is whole in Body.
	Next func() (event []byte, id string, err error)
	// Close gives the connection up, which makes the endpoint stop.
	Close func()
}

// Client is where a request's answer goes; one of Answer, Begin and Refuse is called once.
type Client struct {
	Answer func(status int, header http.Header, body []byte) error
	Begin  func(status int, header http.Header) error
	Event  func(event []byte) error
	Refuse func(Refusal)
	// Cut ends a stream so that it does not look complete.
	Cut func()
}

// Refusal is an answer of the gateway's own.
type Refusal struct {
	Status int
	// After is when the client had better come back; 0 says nothing.
	After  time.Duration
	Reason string
}

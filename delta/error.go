package delta

// ErrEncode is returned if a document cannot be encoded.
type ErrEncode struct{ Cause error }

// Error implements error.
func (e ErrEncode) Error() string { return "cannot encode the document: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrEncode) Unwrap() error { return e.Cause }

// ErrDecode is returned if an encoding does not yield the document that it was made from.
type ErrDecode struct {
	Reason string
	Cause  error
}

// Error implements error.
func (e ErrDecode) Error() string {
	text := "cannot decode the document: " + e.Reason
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e ErrDecode) Unwrap() error { return e.Cause }

package stream

// Origin is what the endpoint that began a stream has in common with those at which the stream may go on.
type Origin struct {
	Service string
	// Software is the version of the endpoint's software. Versions have no order.
	Software string
}

package stream

import "strconv"

// Follows reports whether an event with this ID may come after the event with the previous ID, "" for none: numbers must increase, and other
// IDs must differ.
func Follows(previous, id string) bool {
	if previous == "" || id == "" {
		return true
	}
	last, lastErr := strconv.ParseUint(previous, 10, 64)
	next, nextErr := strconv.ParseUint(id, 10, 64)
	if lastErr != nil || nextErr != nil {
		return id != previous
	}
	return next > last
}

// GoesOn reports whether a stream may go on with an event with this ID at another endpoint. So far it had a number of events after the one
// with the first ID, "" for none, up to the one with the previous ID. Where these are numbered without gaps, the next number must follow.
func GoesOn(first string, count int, previous, id string) bool {
	if !Follows(previous, id) || id == "" {
		return previous == ""
	}
	begin, beginErr := strconv.ParseUint(first, 10, 64)
	last, lastErr := strconv.ParseUint(previous, 10, 64)
	next, nextErr := strconv.ParseUint(id, 10, 64)
	if count < 2 || lastErr != nil || nextErr != nil || beginErr != nil && first != "" || last != begin+uint64(count) {
		return true
	}
	return next == last+1
}

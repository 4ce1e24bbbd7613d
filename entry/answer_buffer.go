package entry

import (
	"sync/atomic"

	"burdocksaddle/wirepb"
)

const (
	// maxTotalAnswerBytes limits the memory for responses that are passed on whole, over all requests. Buffers up to smallAnswerBytes are not
	// counted.
	maxTotalAnswerBytes = 256 << 20
	smallAnswerBytes    = 64 << 10
)

// answerBuffer holds a response until it is complete.
type answerBuffer struct {
	total *atomic.Int64
	data  []byte
}

// add appends a chunk. It returns ErrRefused if the response, or all of them together, get too large.
func (b *answerBuffer) add(chunk []byte) error {
	size := len(b.data) + len(chunk)
	if size > MaxResponseBytes {
		return ErrRefused{Code: CodeAnswerTooLarge, Run: wirepb.Run_RUN_RAN, Detail: "the answer is larger than what is passed on whole"}
	}
	if size > cap(b.data) {
		grown := min(max(size, 2*cap(b.data)), MaxResponseBytes)
		if b.total.Add(counted(grown)) > maxTotalAnswerBytes {
			b.total.Add(-counted(grown))
			return ErrRefused{Code: CodeAnswerTooLarge, Run: wirepb.Run_RUN_RAN, Detail: "too many large answers are held"}
		}
		before := counted(cap(b.data))
		b.data = append(make([]byte, 0, grown), b.data...)
		b.total.Add(-before)
	}
	b.data = append(b.data, chunk...)
	return nil
}

// clear discards the response.
func (b *answerBuffer) clear() {
	b.total.Add(-counted(cap(b.data)))
	b.data = nil
}

// counted returns how much of a buffer counts toward the total.
func counted(size int) int64 {
	if size <= smallAnswerBytes {
		return 0
	}
	return int64(size)
}

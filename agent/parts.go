package agent

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
)

const (
	chunkBytes    = 32 << 10
	maxEventBytes = 1 << 20
	// eventBufferBytes is what a stream reads at once.
	eventBufferBytes = 4 << 10
)

// parts cuts an answer: a stream by its events, so that offsets count what the engine counts.
func parts(response *http.Response, stream bool) func() ([]byte, error) {
	if stream && response.StatusCode == http.StatusOK {
		reader := bufio.NewReaderSize(response.Body, eventBufferBytes)
		return func() ([]byte, error) { return readEvent(reader) }
	}
	size := int64(chunkBytes)
	if response.ContentLength >= 0 {
		// One byte more lets the end of the body be seen.
		size = min(size, response.ContentLength+1)
	}
	return func() ([]byte, error) {
		part := make([]byte, size)
		n, err := io.ReadFull(response.Body, part)
		if n > 0 {
			// The next read tells whether the body ended here or was cut.
			return part[:n], nil
		}
		return nil, err
	}
}

// readEvent reads one server-sent event with its blank line; a cut one is an error.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, io.EOF) && len(event) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(event) > maxEventBytes {
			return nil, bufio.ErrTooLong
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			return event, nil
		}
	}
}

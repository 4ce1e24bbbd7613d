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
	// eventBufferBytes is the read buffer size for event streams.
	eventBufferBytes = 4 << 10
)

// chunkReader returns a function that reads the response body in chunks. Each event of a stream is one chunk, so that chunk
// offsets match the engine's event offsets.
func chunkReader(response *http.Response, stream bool) func() ([]byte, error) {
	if stream && response.StatusCode == http.StatusOK {
		reader := bufio.NewReaderSize(response.Body, eventBufferBytes)
		return func() ([]byte, error) { return readEvent(reader) }
	}
	bufSize := int64(chunkBytes)
	if response.ContentLength >= 0 {
		// The extra byte makes a single read reach the end of the body.
		bufSize = min(bufSize, response.ContentLength+1)
	}
	return func() ([]byte, error) {
		buf := make([]byte, bufSize)
		n, err := io.ReadFull(response.Body, buf)
		if n > 0 {
			// Return the data first; the next read reports whether the body ended or was truncated.
			return buf[:n], nil
		}
		return nil, err
	}
}

// readEvent reads one server-sent event including its trailing blank line. It returns io.ErrUnexpectedEOF if the event is truncated.
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

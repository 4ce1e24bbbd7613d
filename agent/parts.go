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
)

// parts cuts an answer: a stream by its events, so that offsets count what the engine counts.
func parts(response *http.Response, stream bool) func() ([]byte, error) {
	reader := bufio.NewReaderSize(response.Body, chunkBytes)
	if stream && response.StatusCode == http.StatusOK {
		return func() ([]byte, error) { return readEvent(reader) }
	}
	return func() ([]byte, error) {
		part := make([]byte, chunkBytes)
		n, err := io.ReadFull(reader, part)
		if n > 0 {
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

package agent

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"

	"burdocksaddle/engineapi"
)

const (
	chunkBytes    = 32 << 10
	maxEventBytes = 1 << 20
	// eventBufferBytes is the read buffer size for event streams.
	eventBufferBytes = 4 << 10
	// maxErrorDetail limits what is kept of the text of an engine's error.
	maxErrorDetail = 256
)

const mediaTypeEvents = "text/event-stream"

// chunkReader returns a function that reads the response body in chunks. Each event of a stream is one chunk, so that chunk
// offsets match the engine's event offsets.
func chunkReader(response *http.Response, stream bool) func() ([]byte, error) {
	if stream && response.StatusCode == http.StatusOK {
		return eventReader(response)
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

// eventReader returns a function that reads a stream's events. It returns ErrNotEventStream for another response, ErrStreamFailed for an event
// that reports an error and io.ErrUnexpectedEOF for a stream without engineapi.StreamDone.
func eventReader(response *http.Response) func() ([]byte, error) {
	contentType := response.Header.Get("Content-Type")
	if mediaType, _, err := mime.ParseMediaType(contentType); err != nil || mediaType != mediaTypeEvents {
		return func() ([]byte, error) { return nil, ErrNotEventStream{ContentType: contentType} }
	}
	reader, done := bufio.NewReaderSize(response.Body, eventBufferBytes), false
	return func() ([]byte, error) {
		event, err := readEvent(reader)
		switch {
		case done:
			return nil, io.EOF
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		data := eventData(event)
		if detail, failed := streamError(data); failed {
			return nil, ErrStreamFailed{Detail: detail}
		}
		done = string(data) == engineapi.StreamDone
		return event, nil
	}
}

// eventData returns the first line of an event's data.
func eventData(event []byte) []byte {
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			return bytes.TrimSpace(data)
		}
	}
	return nil
}

// streamError reports whether an event's data is an engineapi.StreamError, and returns its text.
func streamError(data []byte) (detail string, failed bool) {
	if !bytes.Contains(data, []byte(`"error"`)) {
		return "", false
	}
	var body struct {
		Error json.RawMessage `json:"error"`
	}
	if json.Unmarshal(data, &body) != nil || len(body.Error) == 0 || string(body.Error) == "null" {
		return "", false
	}
	return string(body.Error[:min(len(body.Error), maxErrorDetail)]), true
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

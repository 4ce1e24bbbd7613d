package holder

import "fmt"

// ErrNotHolder is returned when this process does not hold an endpoint, or may not issue orders to it yet.
type ErrNotHolder struct{ Endpoint string }

func (e ErrNotHolder) Error() string {
	return fmt.Sprintf("not the holder of endpoint %s", e.Endpoint)
}

package holder

import "fmt"

// ErrNotHolder means that this process may not, or not yet, give an endpoint orders.
type ErrNotHolder struct{ Endpoint string }

func (e ErrNotHolder) Error() string {
	return fmt.Sprintf("not the holder of endpoint %s", e.Endpoint)
}

package routing

const (
	// budgetStart lets a quiet entry retry a little.
	budgetStart = 10
	// budgetMost bounds what is saved up for a burst of failures.
	budgetMost = 100
)

// Budget bounds retries to a share of the requests, so that they never amplify an overload.
type Budget struct {
	ratio  float64
	tokens float64
}

// NewBudget makes a Budget that allows ratio retries a request.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, tokens: min(budgetStart, ratio*budgetMost)}
}

// Request earns a share of a retry.
func (b *Budget) Request() { b.tokens = min(b.tokens+b.ratio, budgetMost) }

// Retry spends one retry; false when the budget is used up.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

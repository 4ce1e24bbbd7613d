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
	most   float64
}

// BudgetOption sets one property of a Budget.
type BudgetOption func(*Budget)

// WithSaved sets how many retries may be saved up; a fresh budget has them.
func WithSaved(most float64) BudgetOption {
	return func(b *Budget) { b.most, b.tokens = most, most }
}

// NewBudget makes a Budget that allows ratio retries a request.
func NewBudget(ratio float64, options ...BudgetOption) *Budget {
	b := &Budget{ratio: ratio, tokens: min(budgetStart, ratio*budgetMost), most: budgetMost}
	for _, option := range options {
		option(b)
	}
	return b
}

// Save changes how many retries may be saved up.
func (b *Budget) Save(most float64) { b.most, b.tokens = most, min(b.tokens, most) }

// Request earns a share of a retry.
func (b *Budget) Request() { b.tokens = min(b.tokens+b.ratio, b.most) }

// Retry spends one retry; false when the budget is used up.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

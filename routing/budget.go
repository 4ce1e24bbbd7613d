package routing

const (
	// initialTokens allows an entry with few requests some retries.
	initialTokens = 10
	// defaultMaxTokens bounds the tokens accumulated for a burst of failures.
	defaultMaxTokens = 100
)

// Budget is a token bucket that limits retries to a share of the requests, so that retries never amplify an overload.
type Budget struct {
	ratio     float64
	tokens    float64
	maxTokens float64
}

// BudgetOption configures a Budget.
type BudgetOption func(*Budget)

// WithMaxTokens sets the maximum number of accumulated tokens; a new budget starts with all of them.
func WithMaxTokens(maxTokens float64) BudgetOption {
	return func(b *Budget) { b.maxTokens, b.tokens = maxTokens, maxTokens }
}

// NewBudget returns a Budget that allows ratio retries per request.
func NewBudget(ratio float64, options ...BudgetOption) *Budget {
	b := &Budget{ratio: ratio, tokens: min(initialTokens, ratio*defaultMaxTokens), maxTokens: defaultMaxTokens}
	for _, option := range options {
		option(b)
	}
	return b
}

// SetMaxTokens changes the maximum number of accumulated tokens.
func (b *Budget) SetMaxTokens(maxTokens float64) {
	b.maxTokens, b.tokens = maxTokens, min(b.tokens, maxTokens)
}

// AddRequest adds the share of a token that one request earns.
func (b *Budget) AddRequest() { b.tokens = min(b.tokens+b.ratio, b.maxTokens) }

// TakeRetry takes one token and reports whether there was one.
func (b *Budget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

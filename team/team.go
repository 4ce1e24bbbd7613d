package team

// Team is a group of callers that share API keys, an urgency and a cap.
type Team struct {
	Name string
	// Urgency replaces the priority of routes if HasUrgency is set; 0 is the most urgent.
	Urgency    int
	HasUrgency bool
	Cap        Cap
}

// Cap limits what all requests of a team may use, over all gateways together.
type Cap struct {
	// PerSecond and Burst are in tokens if CountsTokens is set, else in requests. A cap with a PerSecond of 0 doesn't limit anything.
	PerSecond, Burst float64
	CountsTokens     bool
	// PlainTokens is what a request that declares no token counts uses.
	PlainTokens int
}

// Limited reports whether the cap limits anything.
func (c Cap) Limited() bool { return c.PerSecond > 0 }

// Amount returns what a request uses of the cap; tokens is the sum of its declared token counts, 0 if it declares none.
func (c Cap) Amount(tokens int) float64 {
	switch {
	case !c.CountsTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(c.PlainTokens)
}

package ledger

// Outcome is what is known of a claimed request.
type Outcome string

// Outcomes of a claim.
const (
	Open    Outcome = "Open"
	NotRun  Outcome = "NotRun"
	Ran     Outcome = "Ran"
	Unknown Outcome = "Unknown"
)

// Answer is a recorded whole answer.
type Answer struct {
	Status      uint32
	ContentType string
	Body        []byte
}

// Claim is one request that runs at most once.
type Claim struct {
	ID          uint64
	Caller      string
	Key         string
	RequestID   string
	Service     string
	Endpoint    string
	Incarnation uint64
	BodyHash    uint64
	OpenedMS    int64
	Outcome     Outcome
	Answer      *Answer `json:",omitempty"`
	OnAgent     bool    `json:",omitempty"`
}

// Ledger is the aggregate; one owner changes it.
type Ledger struct {
	byID  map[uint64]Claim
	byKey map[key]uint64
}

type key struct{ caller, service, key string }

// New makes an empty Ledger.
func New() *Ledger {
	return &Ledger{byID: map[uint64]Claim{}, byKey: map[key]uint64{}}
}

// Open claims a request under a new number, or returns the claim that holds its key.
func (l *Ledger) Open(c Claim, id uint64, atMS int64) (claim Claim, fresh bool, err error) {
	k := key{c.Caller, c.Service, c.Key}
	if held, ok := l.byKey[k]; ok {
		claim := l.byID[held]
		if claim.BodyHash != c.BodyHash {
			return claim, false, ErrKeyReused{Key: c.Key}
		}
		if claim.Outcome != NotRun {
			return claim, false, nil
		}
		delete(l.byID, held)
	}
	c.ID, c.OpenedMS, c.Outcome = id, atMS, Open
	l.byID[id], l.byKey[k] = c, id
	return c, true, nil
}

// Close records the outcome of an open claim and returns what holds.
func (l *Ledger) Close(id uint64, outcome Outcome, answer *Answer, onAgent bool) (Claim, bool) {
	claim, ok := l.byID[id]
	if !ok || (claim.Outcome != Open && claim.Outcome != Unknown) {
		return claim, ok
	}
	claim.Outcome, claim.Answer, claim.OnAgent = outcome, answer, onAgent
	l.byID[id] = claim
	return claim, true
}

// Len returns how many claims are held.
func (l *Ledger) Len() int { return len(l.byID) }

// ErrKeyReused tells that a caller used a key for another body.
type ErrKeyReused struct{ Key string }

// Error implements error.
func (e ErrKeyReused) Error() string { return "key " + e.Key + " was used with another body" }

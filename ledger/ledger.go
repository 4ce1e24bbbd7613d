package ledger

import "time"

// Outcome is the known result of a claimed request.
type Outcome string

// Outcomes of a claim.
const (
	Open    Outcome = "Open"
	NotRun  Outcome = "NotRun"
	Ran     Outcome = "Ran"
	Unknown Outcome = "Unknown"
)

const (
	// Retention is how long a key is kept after the last change of its claim.
	Retention = 24 * time.Hour
	// MaxAnswerBytes limits the body of a recorded answer; a larger one stays on its agent.
	MaxAnswerBytes = 16 << 10
	// MaxAnswersBytes limits the total size of recorded answers; above it the oldest are discarded, but their claims
	// remain.
	MaxAnswersBytes = 32 << 20
	// MaxClaims limits the number of claims; new ones are refused until old ones expire.
	MaxClaims = 1 << 18
)

// Answer is a recorded complete answer.
type Answer struct {
	Status      uint32
	ContentType string
	Body        []byte
}

// Claim is a request that runs at most once.
type Claim struct {
	ID          uint64
	Caller      string
	Key         string
	RequestID   string
	Attempt     uint32
	Service     string
	Endpoint    string
	Incarnation uint64
	BodyHash    uint64
	OpenedMS    int64
	ChangedMS   int64
	// Change is the number of the ledger change that last updated the claim.
	Change  uint64
	Outcome Outcome
	Answer  *Answer `json:",omitempty"`
	OnAgent bool    `json:",omitempty"`
}

// Ledger is the state of all claims. It is not safe for concurrent use.
type Ledger struct {
	byID  map[uint64]Claim
	byKey map[key]uint64
	// nowMS is the latest time seen; it does not go back when a new leader's clock is behind.
	nowMS      int64
	lastChange uint64
	expiries   []expiry
	// answeredIDs are the claims with recorded answers, oldest first.
	answeredIDs []uint64
	answerBytes int
}

type key struct{ caller, service, key string }

// expiry is the time at which a claim may expire; expiries are kept in ascending order of time.
type expiry struct {
	id   uint64
	atMS int64
}

// New returns an empty Ledger.
func New() *Ledger {
	return &Ledger{byID: map[uint64]Claim{}, byKey: map[key]uint64{}}
}

// Open claims a request under a new ID, or returns the claim that already exists for its key. fresh reports whether the
// request owns the claim and may be dispatched; the errors are ErrKeyReused and ErrLedgerFull.
func (l *Ledger) Open(c Claim, id uint64, atMS int64) (claim Claim, fresh bool, err error) {
	l.advanceTime(atMS)
	k := c.key()
	if held, ok := l.byKey[k]; ok {
		claim := l.byID[held]
		if claim.BodyHash != c.BodyHash {
			return claim, false, ErrKeyReused{Key: c.Key}
		}
		if !claim.replaceableBy(c) {
			return claim, claim.matchesResend(c), nil
		}
		delete(l.byID, held)
	} else if len(l.byID) >= MaxClaims {
		return Claim{}, false, ErrLedgerFull{Claims: len(l.byID)}
	}
	c.ID, c.OpenedMS, c.Outcome = id, l.nowMS, Open
	l.byKey[k] = id
	return l.update(c), true, nil
}

// Peek returns the claim for a key, or a zero Claim if there is none; the error is ErrKeyReused.
func (l *Ledger) Peek(c Claim, atMS int64) (Claim, error) {
	l.advanceTime(atMS)
	held, ok := l.byKey[c.key()]
	if !ok {
		return Claim{}, nil
	}
	claim := l.byID[held]
	if claim.BodyHash != c.BodyHash {
		return claim, ErrKeyReused{Key: c.Key}
	}
	return claim, nil
}

// Close records the outcome of a claim whose outcome is not final yet. It returns the resulting claim and whether the
// claim exists; the error is ErrOutcomeConflict.
func (l *Ledger) Close(id uint64, outcome Outcome, answer *Answer, onAgent bool, atMS int64) (Claim, bool, error) {
	l.advanceTime(atMS)
	claim, ok := l.byID[id]
	if !ok {
		return Claim{}, false, nil
	}
	if claim.Outcome == Ran && outcome == NotRun || claim.Outcome == NotRun && outcome == Ran {
		return claim, true, ErrOutcomeConflict{Claim: id, Held: claim.Outcome, Requested: outcome}
	}
	if claim.Outcome == NotRun || claim.Outcome == Ran || outcome == Open {
		return claim, true, nil
	}
	if answer != nil && len(answer.Body) > MaxAnswerBytes {
		answer, onAgent = nil, true
	}
	claim.Outcome, claim.Answer, claim.OnAgent = outcome, answer, onAgent
	return l.update(claim), true, nil
}

// Len returns the number of claims.
func (l *Ledger) Len() int { return len(l.byID) }

func (l *Ledger) update(c Claim) Claim {
	l.lastChange++
	c.ChangedMS, c.Change = l.nowMS, l.lastChange
	l.store(c)
	for l.answerBytes > MaxAnswersBytes {
		l.discardAnswer(l.answeredIDs[0])
		l.answeredIDs = l.answeredIDs[1:]
	}
	return c
}

func (l *Ledger) store(c Claim) {
	l.byID[c.ID] = c
	l.expiries = append(l.expiries, expiry{id: c.ID, atMS: c.ChangedMS + Retention.Milliseconds()})
	if c.Answer != nil {
		l.answeredIDs = append(l.answeredIDs, c.ID)
		l.answerBytes += len(c.Answer.Body)
	}
}

func (l *Ledger) discardAnswer(id uint64) {
	if claim := l.byID[id]; claim.Answer != nil {
		l.answerBytes -= len(claim.Answer.Body)
		claim.Answer = nil
		l.byID[id] = claim
	}
}

// advanceTime advances the clock and removes the claims past their retention.
func (l *Ledger) advanceTime(atMS int64) {
	l.nowMS = max(l.nowMS, atMS)
	for len(l.expiries) > 0 && l.expiries[0].atMS <= l.nowMS {
		id := l.expiries[0].id
		l.expiries = l.expiries[1:]
		claim, ok := l.byID[id]
		if !ok || claim.ChangedMS+Retention.Milliseconds() > l.nowMS {
			continue
		}
		l.discardAnswer(id)
		delete(l.byID, id)
		if l.byKey[claim.key()] == id {
			delete(l.byKey, claim.key())
		}
	}
}

func (c Claim) key() key { return key{c.Caller, c.Service, c.Key} }

// replaceableBy reports whether another attempt may take over the key because the claimed request did not run.
func (c Claim) replaceableBy(next Claim) bool {
	return c.Outcome == NotRun && (c.RequestID != next.RequestID || next.Attempt > c.Attempt)
}

// matchesResend reports whether next is a resend of the same attempt while the claim is open, which happens when the
// sender lost the reply.
func (c Claim) matchesResend(next Claim) bool {
	return c.Outcome == Open && c.RequestID == next.RequestID && c.Attempt == next.Attempt &&
		c.Endpoint == next.Endpoint && c.Incarnation == next.Incarnation
}

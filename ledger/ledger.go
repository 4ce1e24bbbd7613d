package ledger

import "time"

// Outcome is what is known of a claimed request.
type Outcome string

// Outcomes of a claim.
const (
	Open    Outcome = "Open"
	NotRun  Outcome = "NotRun"
	Ran     Outcome = "Ran"
	Unknown Outcome = "Unknown"
)

const (
	// Retention is how long a key is remembered after its claim last changed.
	Retention = 24 * time.Hour
	// MaxAnswerBytes bounds a recorded answer's body; a larger one stays on its agent.
	MaxAnswerBytes = 16 << 10
	// MaxAnswersBytes bounds all recorded answers; beyond it the oldest are dropped, their claims stay.
	MaxAnswersBytes = 32 << 20
	// MaxClaims bounds the claims held; further ones are refused until old ones expire.
	MaxClaims = 1 << 18
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
	Attempt     uint32
	Service     string
	Endpoint    string
	Incarnation uint64
	BodyHash    uint64
	OpenedMS    int64
	ChangedMS   int64
	// Change numbers the ledger's changes.
	Change  uint64
	Outcome Outcome
	Answer  *Answer `json:",omitempty"`
	OnAgent bool    `json:",omitempty"`
}

// Ledger is the aggregate; one owner changes it.
type Ledger struct {
	byID  map[uint64]Claim
	byKey map[key]uint64
	// nowMS is the latest time seen; a leader whose clock is behind doesn't turn it back.
	nowMS  int64
	change uint64
	due    []due
	// answered holds the claims with recorded answers, the oldest first.
	answered    []uint64
	answerBytes int
}

type key struct{ caller, service, key string }

// due names a claim that may expire, in the order of time.
type due struct {
	id   uint64
	atMS int64
}

// New makes an empty Ledger.
func New() *Ledger {
	return &Ledger{byID: map[uint64]Claim{}, byKey: map[key]uint64{}}
}

// Open claims a request under a new number, or returns the claim that holds its key.
// Fresh tells the claim's own request that it may dispatch; the errors are ErrKeyReused and ErrLedgerFull.
func (l *Ledger) Open(c Claim, id uint64, atMS int64) (claim Claim, fresh bool, err error) {
	l.advance(atMS)
	k := c.key()
	if held, ok := l.byKey[k]; ok {
		claim := l.byID[held]
		if claim.BodyHash != c.BodyHash {
			return claim, false, ErrKeyReused{Key: c.Key}
		}
		if !claim.replacedBy(c) {
			return claim, claim.sameAs(c), nil
		}
		delete(l.byID, held)
	} else if len(l.byID) >= MaxClaims {
		return Claim{}, false, ErrLedgerFull{Claims: len(l.byID)}
	}
	c.ID, c.OpenedMS, c.Outcome = id, l.nowMS, Open
	l.byKey[k] = id
	return l.put(c), true, nil
}

// Peek returns the claim that holds a key, if there is one; the error is ErrKeyReused.
func (l *Ledger) Peek(c Claim, atMS int64) (Claim, error) {
	l.advance(atMS)
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

// Close records the outcome of a claim that has none yet and returns what holds; the error is ErrOutcomeConflict.
func (l *Ledger) Close(id uint64, outcome Outcome, answer *Answer, onAgent bool, atMS int64) (Claim, bool, error) {
	l.advance(atMS)
	claim, ok := l.byID[id]
	if !ok {
		return Claim{}, false, nil
	}
	if claim.Outcome == Ran && outcome == NotRun || claim.Outcome == NotRun && outcome == Ran {
		return claim, true, ErrOutcomeConflict{Claim: id, Held: claim.Outcome, Told: outcome}
	}
	if claim.Outcome == NotRun || claim.Outcome == Ran || outcome == Open {
		return claim, true, nil
	}
	if answer != nil && len(answer.Body) > MaxAnswerBytes {
		answer, onAgent = nil, true
	}
	claim.Outcome, claim.Answer, claim.OnAgent = outcome, answer, onAgent
	return l.put(claim), true, nil
}

// Len returns how many claims are held.
func (l *Ledger) Len() int { return len(l.byID) }

func (l *Ledger) put(c Claim) Claim {
	l.change++
	c.ChangedMS, c.Change = l.nowMS, l.change
	l.hold(c)
	for l.answerBytes > MaxAnswersBytes {
		l.dropAnswer(l.answered[0])
		l.answered = l.answered[1:]
	}
	return c
}

func (l *Ledger) hold(c Claim) {
	l.byID[c.ID] = c
	l.due = append(l.due, due{id: c.ID, atMS: c.ChangedMS + Retention.Milliseconds()})
	if c.Answer != nil {
		l.answered = append(l.answered, c.ID)
		l.answerBytes += len(c.Answer.Body)
	}
}

func (l *Ledger) dropAnswer(id uint64) {
	if claim := l.byID[id]; claim.Answer != nil {
		l.answerBytes -= len(claim.Answer.Body)
		claim.Answer = nil
		l.byID[id] = claim
	}
}

// advance takes the time forward and forgets what is past its retention.
func (l *Ledger) advance(atMS int64) {
	l.nowMS = max(l.nowMS, atMS)
	for len(l.due) > 0 && l.due[0].atMS <= l.nowMS {
		id := l.due[0].id
		l.due = l.due[1:]
		claim, ok := l.byID[id]
		if !ok || claim.ChangedMS+Retention.Milliseconds() > l.nowMS {
			continue
		}
		l.dropAnswer(id)
		delete(l.byID, id)
		if l.byKey[claim.key()] == id {
			delete(l.byKey, claim.key())
		}
	}
}

func (c Claim) key() key { return key{c.Caller, c.Service, c.Key} }

// replacedBy tells whether a key whose claim never ran is free for another attempt.
func (c Claim) replacedBy(next Claim) bool {
	return c.Outcome == NotRun && (c.RequestID != next.RequestID || next.Attempt > c.Attempt)
}

// sameAs tells whether a claim is the copy of one that is still open: its sender lost the reply.
func (c Claim) sameAs(next Claim) bool {
	return c.Outcome == Open && c.RequestID == next.RequestID && c.Attempt == next.Attempt &&
		c.Endpoint == next.Endpoint && c.Incarnation == next.Incarnation
}

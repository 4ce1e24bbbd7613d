package replay

import (
	"cmp"
	"encoding/csv"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
)

// Arrival is one request of a trace.
type Arrival struct {
	AtMS  int64
	Model string
	// RunMS is how long the request runs once its model is loaded.
	RunMS int64
}

const (
	hourMS = 3_600_000
	dayMS  = 24 * hourMS
	// activityChangeRate is the share of models that become active or inactive within an hour.
	activityChangeRate = 0.13
	// activeShare is the share of models that are active.
	activeShare = 0.3
	// timerShare is the share of models that scripts call periodically.
	timerShare = 0.25
	// replacementRate is the share of workers that are restarted or replaced within a day. A new VM has no checkpoints.
	replacementRate = 0.165
	nightActivity   = 0.1
	medianRunMS     = 6000
	medianThinkMS   = 25_000
)

// Replacement is the time at which a worker's VM is replaced by an empty one.
type Replacement struct {
	AtMS   int64
	Worker int
}

// replacements generates the replacements of the workers from the seed.
func (d Deployment) replacements(seed uint64, endMS int64) []Replacement {
	random := rand.New(rand.NewPCG(seed, 0xdead))
	var all []Replacement
	for worker := range d.Workers {
		for at := int64(0); ; {
			at += int64(random.ExpFloat64() / replacementRate * dayMS)
			if at >= endMS {
				break
			}
			all = append(all, Replacement{AtMS: at, Worker: worker})
		}
	}
	return all
}

// requestPattern describes the requests for one model.
type requestPattern struct {
	sessionsPerHour   float64
	meanSessionLength float64
	meanBurst         float64
	periodMS          int64
}

// GenerateTrace generates a trace with models that become active and inactive, working days, sessions that
// start with a burst of requests, and scripts that call periodically.
func (d Deployment) GenerateTrace(seed uint64, hours float64) []Arrival {
	var trace []Arrival
	end := int64(hours * hourMS)
	for i := range d.Models {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		trace = append(trace, d.modelTrace(random, modelName(i), end)...)
	}
	slices.SortStableFunc(trace, func(a, b Arrival) int {
		return cmp.Or(cmp.Compare(a.AtMS, b.AtMS), cmp.Compare(a.Model, b.Model))
	})
	return trace
}

func (d Deployment) modelTrace(random *rand.Rand, name string, end int64) []Arrival {
	pattern := requestPattern{
		// Rates vary by more than an order of magnitude.
		sessionsPerHour:   0.5 * math.Exp(random.Float64()*math.Log(20)),
		meanSessionLength: 2 + random.Float64()*8, meanBurst: 1 + random.Float64()*2,
	}
	if random.Float64() < timerShare {
		periods := []int64{5, 10, 15, 20, 30, 60}
		pattern.periodMS = periods[random.IntN(len(periods))] * 60_000
	}
	cycleMS := 2 / activityChangeRate * hourMS
	active := random.Float64() < activeShare
	var trace []Arrival
	for at := int64(0); at < end; {
		mean := cycleMS * (1 - activeShare)
		if active {
			mean = cycleMS * activeShare
		}
		until := min(end, at+int64(random.ExpFloat64()*mean)+1)
		if active {
			trace = append(trace, d.activeTrace(random, pattern, name, at, until)...)
		}
		at, active = until, !active
	}
	return trace
}

func (d Deployment) activeTrace(random *rand.Rand, pattern requestPattern, name string, from, until int64) []Arrival {
	var trace []Arrival
	if pattern.periodMS > 0 {
		for at := from; at < until; at += pattern.periodMS {
			jitter := int64(random.NormFloat64() * 5000)
			trace = append(trace, newArrival(random, name, max(0, at+jitter)))
		}
		return trace
	}
	for at := from; ; {
		at += int64(random.ExpFloat64() / pattern.sessionsPerHour * hourMS)
		if at >= until {
			return trace
		}
		if random.Float64() > d.activityAt(at) {
			continue
		}
		trace = append(trace, sessionTrace(random, pattern, name, at)...)
	}
}

// sessionTrace generates one session: a burst of requests at nearly the same time, then single requests after a reader's think time.
func sessionTrace(random *rand.Rand, pattern requestPattern, name string, at int64) []Arrival {
	var trace []Arrival
	for range 1 + int(random.ExpFloat64()*(pattern.meanBurst-1)) {
		trace = append(trace, newArrival(random, name, at+random.Int64N(500)))
	}
	for random.Float64() > 1/pattern.meanSessionLength {
		at += int64(medianThinkMS * math.Exp(random.NormFloat64()*0.8))
		trace = append(trace, newArrival(random, name, at))
	}
	return trace
}

func newArrival(random *rand.Rand, name string, at int64) Arrival {
	return Arrival{AtMS: at, Model: name, RunMS: int64(medianRunMS * math.Exp(random.NormFloat64()*0.6))}
}

// activityAt returns the share of sessions that take place at the hour of the day.
func (d Deployment) activityAt(at int64) float64 {
	hour := float64(at%dayMS) / hourMS
	if hour < d.OpenHour || hour > d.CloseHour {
		return nightActivity
	}
	middle := (d.OpenHour + d.CloseHour) / 2
	return 1 - 0.5*math.Abs(hour-middle)/(d.CloseHour-middle)
}

// ReadTrace reads a CSV of time in seconds, model and, if there is a third column, run time in seconds. It
// returns ErrTraceInvalid or the error of the reader.
func ReadTrace(from io.Reader) ([]Arrival, error) {
	reader := csv.NewReader(from)
	reader.FieldsPerRecord, reader.Comment = -1, '#'
	var trace []Arrival
	for line := 1; ; line++ {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		if line == 1 && fields[0] == "time" {
			continue
		}
		one, err := parseArrival(fields, line)
		if err != nil {
			return nil, err
		}
		trace = append(trace, one)
	}
	slices.SortStableFunc(trace, func(a, b Arrival) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return trace, nil
}

func parseArrival(fields []string, line int) (Arrival, error) {
	if len(fields) < 2 || len(fields) > 3 || fields[1] == "" {
		return Arrival{}, ErrTraceInvalid{Line: line, Reason: "must contain time, model and optionally run time"}
	}
	at, err := strconv.ParseFloat(fields[0], 64)
	if err != nil || !(at >= 0 && at < 1e9) {
		return Arrival{}, ErrTraceInvalid{Line: line, Reason: "time must be a non-negative number of seconds, not " + strconv.Quote(fields[0])}
	}
	run := float64(medianRunMS) / 1000
	if len(fields) == 3 {
		if run, err = strconv.ParseFloat(fields[2], 64); err != nil || !(run >= 0 && run < 1e6) {
			return Arrival{}, ErrTraceInvalid{Line: line, Reason: "run time must be a number of seconds, not " + strconv.Quote(fields[2])}
		}
	}
	return Arrival{AtMS: int64(at * 1000), Model: fields[1], RunMS: int64(run * 1000)}, nil
}

// ErrTraceInvalid is returned for a line of a trace that cannot be parsed.
type ErrTraceInvalid struct {
	Line   int
	Reason string
}

// Error implements error.
func (e ErrTraceInvalid) Error() string {
	return "trace line " + strconv.Itoa(e.Line) + ": " + e.Reason
}

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
	// RunMS is how long the request runs once its model serves.
	RunMS int64
}

const (
	hourMS = 3_600_000
	dayMS  = 24 * hourMS
	// wakeRate is how many models of a hundred wake up or fall idle within an hour, as a share.
	wakeRate = 0.13
	// awakeShare is the share of models that are awake.
	awakeShare = 0.3
	// timerShare is the share of models that scripts call on a timer.
	timerShare = 0.25
	// replacedPerDay is how many workers of a hundred are restarted or replaced
	// within a day, as a share; a new VM has no checkpoints.
	replacedPerDay = 0.165
	nightRate      = 0.1
	medianRunMS    = 6000
	medianThinkMS  = 25_000
)

// Replacement is the moment at which a worker's VM is replaced by an empty one.
type Replacement struct {
	AtMS   int64
	Worker int
}

// replacements draws the workers' ends from the seed.
func (d Deployment) replacements(seed uint64, endMS int64) []Replacement {
	random := rand.New(rand.NewPCG(seed, 0xdead))
	var all []Replacement
	for worker := range d.Workers {
		for at := int64(0); ; {
			at += int64(random.ExpFloat64() / replacedPerDay * dayMS)
			if at >= endMS {
				break
			}
			all = append(all, Replacement{AtMS: at, Worker: worker})
		}
	}
	return all
}

// shape is how one model is asked.
type shape struct {
	sessionsPerHour float64
	length          float64
	burst           float64
	timerMS         int64
}

// Generate makes a trace: models that wake and sleep, working days, sessions
// of requests with bursts at their start, and scripts on timers.
func (d Deployment) Generate(seed uint64, hours float64) []Arrival {
	var trace []Arrival
	end := int64(hours * hourMS)
	for i := range d.Models {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		trace = append(trace, d.model(random, modelName(i), end)...)
	}
	slices.SortStableFunc(trace, func(a, b Arrival) int {
		return cmp.Or(cmp.Compare(a.AtMS, b.AtMS), cmp.Compare(a.Model, b.Model))
	})
	return trace
}

func (d Deployment) model(random *rand.Rand, name string, end int64) []Arrival {
	s := shape{
		// Rates are spread over more than an order of magnitude.
		sessionsPerHour: 0.5 * math.Exp(random.Float64()*math.Log(20)),
		length:          2 + random.Float64()*8, burst: 1 + random.Float64()*2,
	}
	if random.Float64() < timerShare {
		periods := []int64{5, 10, 15, 20, 30, 60}
		s.timerMS = periods[random.IntN(len(periods))] * 60_000
	}
	cycle := 2 / wakeRate * hourMS
	awake := random.Float64() < awakeShare
	var trace []Arrival
	for at := int64(0); at < end; {
		mean := cycle * (1 - awakeShare)
		if awake {
			mean = cycle * awakeShare
		}
		until := min(end, at+int64(random.ExpFloat64()*mean)+1)
		if awake {
			trace = append(trace, d.awake(random, s, name, at, until)...)
		}
		at, awake = until, !awake
	}
	return trace
}

func (d Deployment) awake(random *rand.Rand, s shape, name string, from, until int64) []Arrival {
	var trace []Arrival
	if s.timerMS > 0 {
		for at := from; at < until; at += s.timerMS {
			jitter := int64(random.NormFloat64() * 5000)
			trace = append(trace, arrival(random, name, max(0, at+jitter)))
		}
		return trace
	}
	for at := from; ; {
		at += int64(random.ExpFloat64() / s.sessionsPerHour * hourMS)
		if at >= until {
			return trace
		}
		if random.Float64() > d.rhythm(at) {
			continue
		}
		trace = append(trace, session(random, s, name, at)...)
	}
}

// session begins with a burst at several entries and goes on at a reader's pace.
func session(random *rand.Rand, s shape, name string, at int64) []Arrival {
	var trace []Arrival
	for range 1 + int(random.ExpFloat64()*(s.burst-1)) {
		trace = append(trace, arrival(random, name, at+random.Int64N(500)))
	}
	for random.Float64() > 1/s.length {
		at += int64(medianThinkMS * math.Exp(random.NormFloat64()*0.8))
		trace = append(trace, arrival(random, name, at))
	}
	return trace
}

func arrival(random *rand.Rand, name string, at int64) Arrival {
	return Arrival{AtMS: at, Model: name, RunMS: int64(medianRunMS * math.Exp(random.NormFloat64()*0.6))}
}

// rhythm is the share of sessions that the hour of the day lets happen.
func (d Deployment) rhythm(at int64) float64 {
	hour := float64(at%dayMS) / hourMS
	if hour < d.OpenHour || hour > d.CloseHour {
		return nightRate
	}
	middle := (d.OpenHour + d.CloseHour) / 2
	return 1 - 0.5*math.Abs(hour-middle)/(d.CloseHour-middle)
}

// ReadTrace reads a CSV of time in seconds, model and, if there is a third
// column, run time in seconds; the error is ErrTraceInvalid or the reader's.
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
		return Arrival{}, ErrTraceInvalid{Line: line, Reason: "wants time, model and perhaps run time"}
	}
	at, err := strconv.ParseFloat(fields[0], 64)
	if err != nil || !(at >= 0 && at < 1e9) {
		return Arrival{}, ErrTraceInvalid{Line: line, Reason: "time wants seconds from 0 on, not " + strconv.Quote(fields[0])}
	}
	run := float64(medianRunMS) / 1000
	if len(fields) == 3 {
		if run, err = strconv.ParseFloat(fields[2], 64); err != nil || !(run >= 0 && run < 1e6) {
			return Arrival{}, ErrTraceInvalid{Line: line, Reason: "run time wants seconds, not " + strconv.Quote(fields[2])}
		}
	}
	return Arrival{AtMS: int64(at * 1000), Model: fields[1], RunMS: int64(run * 1000)}, nil
}

// ErrTraceInvalid names the line of a trace that can't be read.
type ErrTraceInvalid struct {
	Line   int
	Reason string
}

// Error implements error.
func (e ErrTraceInvalid) Error() string {
	return "trace line " + strconv.Itoa(e.Line) + " " + e.Reason
}

package traffic

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"burdocksaddle/standin"
)

// Outage is a period in which requests through an entry may remain unanswered.
type Outage struct {
	Entry      int
	Begin, End time.Time
}

// covers reports whether a request was open during the outage.
func (o Outage) covers(a Attempt) bool {
	return o.Entry == a.Entry && a.Begin.Before(o.End) && !a.Begin.Add(a.Duration).Before(o.Begin)
}

// Checker checks the results of a test run against the guarantees to callers.
type Checker struct {
	Attempts []Attempt
	Outages  []Outage
	// GracefulShutdowns are graceful shutdowns. They must not affect any request that
	// arrives before the load balancer has stopped routing to the entry.
	GracefulShutdowns []Outage
	// Runs counts how often the service executed each key.
	Runs    map[string]int
	Engines []standin.Counts
}

// Violations returns all violations, by the name of the violated guarantee.
func (c Checker) Violations() map[string][]string {
	violations := c.AnswerViolations()
	for key, attempts := range bookingsByKey(c.Attempts) {
		if violation := c.bookingViolation(key, attempts); violation != "" {
			last := attempts[len(attempts)-1]
			violations[violation] = append(violations[violation], fmt.Sprintf("%s ran %d times, %d attempts, last status %d %+v", key, c.Runs[key], len(attempts), last.Status, last.Problem))
		}
	}
	for i, counts := range c.Engines {
		if counts.Overcommits > 0 {
			violations["memory overcommitted"] = append(violations["memory overcommitted"], fmt.Sprintf("engine-%d: %d times", i+1, counts.Overcommits))
		}
		for model, peak := range counts.PeakReplicas {
			if peak > 1 {
				violations["multiple replicas of a model"] = append(violations["multiple replicas of a model"], fmt.Sprintf("engine-%d held %s %d times", i+1, model, peak))
			}
		}
	}
	return violations
}

// AnswerViolations returns the violations that can be detected from the answers alone.
func (c Checker) AnswerViolations() map[string][]string {
	violations := map[string][]string{}
	for _, a := range c.Attempts {
		if violation := c.answerViolation(a); violation != "" {
			violations[violation] = append(violations[violation], fmt.Sprintf("%s %s via entry %d at %s after %v: status %d %+v %s", a.Kind, a.Key, a.Entry+1,
				a.Begin.Format("15:04:05.000"), a.Duration.Round(time.Millisecond), a.Status, a.Problem, a.Detail))
		}
	}
	return violations
}

// answerViolation returns the name of the guarantee that the outcome of a request violates, or an empty string.
func (c Checker) answerViolation(a Attempt) string {
	excused := slices.ContainsFunc(c.Outages, func(o Outage) bool { return o.covers(a) })
	switch {
	case a.WrongAnswer:
		return "answer belongs to another request"
	case a.Incomplete && a.Status == http.StatusOK && a.Kind == Stream && strings.Contains(a.Detail, "event: error"):
		return "" // the caller has been told that the stream is incomplete
	case a.Status != http.StatusOK && slices.ContainsFunc(c.GracefulShutdowns, func(o Outage) bool { return o.covers(a) }):
		return "graceful shutdown cut off a request"
	case a.Incomplete && !excused:
		return "no answer"
	case a.Duration > Deadline+Slack && !excused:
		return "answer too late"
	case a.Status >= http.StatusBadRequest && a.Problem.Run == "":
		return "refusal without Run"
	}
	return ""
}

// bookingViolation returns the name of the guarantee that the runs of a booking violate, or an empty string.
func (c Checker) bookingViolation(key string, attempts []Attempt) string {
	answered := slices.ContainsFunc(attempts, func(a Attempt) bool { return a.Status == http.StatusOK && !a.Incomplete })
	refused := !slices.ContainsFunc(attempts, func(a Attempt) bool { return a.Incomplete || a.Problem.Run != "NotRun" })
	switch runs := c.Runs[key]; {
	case runs > 1:
		return "booking ran twice"
	case answered && runs == 0:
		return "booking answered but not run"
	case refused && runs > 0:
		return "booking ran though refused as not run"
	}
	return ""
}

func bookingsByKey(attempts []Attempt) map[string][]Attempt {
	bookings := map[string][]Attempt{}
	for _, a := range attempts {
		if a.Kind == Booking {
			bookings[a.Key] = append(bookings[a.Key], a)
		}
	}
	return bookings
}

// Summary returns the number of requests by kind and outcome.
func Summary(attempts []Attempt) string {
	counts := map[string]int{}
	for _, a := range attempts {
		outcome := "answered"
		switch {
		case a.Incomplete:
			outcome = "cut"
		case a.Status != http.StatusOK:
			outcome = a.Problem.Code + "/" + a.Problem.Run
		}
		counts[string(a.Kind)+" "+outcome]++
	}
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		lines = append(lines, fmt.Sprintf("%s=%d", strings.ReplaceAll(name, " ", "."), counts[name]))
	}
	return strings.Join(lines, " ")
}

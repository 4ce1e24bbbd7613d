package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"sync"
	"text/tabwriter"
)

// maxConcurrentCases limits the number of cases that run concurrently.
const maxConcurrentCases = 4

// Spread holds the mean and the extremes of a measurement over the seeds.
type Spread struct {
	Mean float64
	Min  float64
	Max  float64
}

func spreadOf(values []float64) Spread {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return Spread{Mean: sum / float64(len(values)), Min: slices.Min(values), Max: slices.Max(values)}
}

// Summary holds the results of one policy over all seeds.
type Summary struct {
	Policy    string
	P50       Spread
	P95       Spread
	P99       Spread
	ColdP99   Spread
	ColdShare Spread
	Refused   Spread
	IdleHours Spread
	Cost      Spread
	Loads     Spread
	Ahead     Spread
}

// Report compares the policies over several seeds on one deployment.
type Report struct {
	Deployment string
	Preset     string
	Seeds      []uint64 `json:",omitempty"`
	Hours      float64
	Policies   []Summary
	// BestFixed is the fixed keep-alive time with the lowest mean cost.
	BestFixed string
	// P99Ratio and IdleRatio compare the placement policy with the best fixed keep-alive time, BoundRatio
	// compares its cost with that of the lower bound.
	P99Ratio   Spread
	IdleRatio  Spread
	BoundRatio Spread
}

// RunSeeds runs the cases of several seeds, at most maxConcurrentCases at once. It returns the error of NewCase.
func RunSeeds(d Deployment, seeds []uint64, hours float64, preset string) (Report, error) {
	all := make([][]Result, len(seeds))
	errs := make([]error, len(seeds))
	slots := make(chan struct{}, maxConcurrentCases)
	var group sync.WaitGroup
	for i, seed := range seeds {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			c, err := NewCase(d, seed, hours, preset)
			if errs[i] = err; err == nil {
				all[i] = c.Run()
			}
		})
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return Report{}, err
		}
	}
	report := Summarize(all)
	report.Deployment, report.Preset, report.Seeds, report.Hours = d.Name, preset, seeds, hours
	return report, nil
}

// Summarize compares the results of several cases, each in the order of Run.
func Summarize(cases [][]Result) Report {
	var report Report
	for i := range cases[0] {
		report.Policies = append(report.Policies, summarize(cases, i))
	}
	placementIndex, boundIndex, bestIndex := 0, 0, -1
	for i, one := range report.Policies {
		switch one.Policy {
		case PolicyFixed1Min, PolicyFixed10Min, PolicyFixed60Min:
			if bestIndex < 0 || one.Cost.Mean < report.Policies[bestIndex].Cost.Mean {
				bestIndex = i
			}
		case PolicyPlacement:
			placementIndex = i
		case BoundOnDemand:
			boundIndex = i
		}
	}
	report.BestFixed = report.Policies[bestIndex].Policy
	ratio := func(to int, measure func(Result) float64) Spread {
		return ratios(cases, placementIndex, to, measure)
	}
	report.P99Ratio = ratio(bestIndex, func(r Result) float64 { return r.P99 })
	report.IdleRatio = ratio(bestIndex, func(r Result) float64 { return r.IdleHours })
	report.BoundRatio = ratio(boundIndex, func(r Result) float64 { return r.Cost })
	return report
}

func summarize(cases [][]Result, i int) Summary {
	spread := func(measure func(Result) float64) Spread {
		values := make([]float64, len(cases))
		for c := range cases {
			values[c] = measure(cases[c][i])
		}
		return spreadOf(values)
	}
	return Summary{
		Policy: cases[0][i].Policy,
		P50:    spread(func(r Result) float64 { return r.P50 }), P95: spread(func(r Result) float64 { return r.P95 }),
		P99: spread(func(r Result) float64 { return r.P99 }), ColdP99: spread(func(r Result) float64 { return r.ColdP99 }),
		ColdShare: spread(func(r Result) float64 { return r.ColdShare }), Refused: spread(func(r Result) float64 { return float64(r.Refused) }),
		IdleHours: spread(func(r Result) float64 { return r.IdleHours }), Cost: spread(func(r Result) float64 { return r.Cost }),
		Loads: spread(func(r Result) float64 { return float64(r.Loads) }), Ahead: spread(func(r Result) float64 { return float64(r.Ahead) }),
	}
}

// ratios uses the ratio of the sums as the mean, so that a seed with a small measurement does not dominate it.
func ratios(cases [][]Result, of, to int, measure func(Result) float64) Spread {
	var numerator, denominator float64
	values := make([]float64, len(cases))
	for c := range cases {
		a, b := measure(cases[c][of]), measure(cases[c][to])
		numerator, denominator = numerator+a, denominator+b
		values[c] = math.Inf(1)
		if b > 0 {
			values[c] = a / b
		} else if a == 0 {
			values[c] = 1
		}
	}
	spread := spreadOf(values)
	spread.Mean = numerator / denominator
	return spread
}

// WriteJSON writes the report as one JSON value.
func (r Report) WriteJSON(to io.Writer) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as a table with the spread over the seeds.
func (r Report) WriteTable(to io.Writer) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(cells ...any) {
		for _, cell := range cells {
			_, _ = fmt.Fprint(table, cell, "\t")
		}
		_, _ = fmt.Fprintln(table)
	}
	_, _ = fmt.Fprintf(to, "%s, preset %s, %d cases of %.4g h; mean (min-max)\n", r.Deployment, r.Preset, max(1, len(r.Seeds)), r.Hours)
	row("policy", "p50 s", "p95 s", "p99 s", "p99 of cold s", "cold %", "refused", "idle h", "cost", "loads", "ahead")
	for _, p := range r.Policies {
		percent := Spread{Mean: 100 * p.ColdShare.Mean, Min: 100 * p.ColdShare.Min, Max: 100 * p.ColdShare.Max}
		row(p.Policy, p.P50, p.P95, p.P99, p.ColdP99, percent, p.Refused, p.IdleHours, p.Cost, p.Loads, p.Ahead)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(to, "compared with %s, the best fixed keep-alive by cost: p99 %s, idle hours %s\ncost compared with the bound for loads on demand: %s\n",
		r.BestFixed, r.P99Ratio, r.IdleRatio, r.BoundRatio)
	return err
}

// String returns the mean and, if they differ, the extremes.
func (s Spread) String() string {
	if s.Min == s.Max {
		return fmt.Sprintf("%.3g", s.Mean)
	}
	return fmt.Sprintf("%.3g (%.3g-%.3g)", s.Mean, s.Min, s.Max)
}

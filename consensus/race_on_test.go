//go:build race

package consensus_test

const raceEnabled = true

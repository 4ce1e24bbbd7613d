//go:build !race

package consensus_test

const raceEnabled = false

//go:build race

package control

const raceDetector = true

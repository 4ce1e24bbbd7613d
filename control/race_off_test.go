//go:build !race

package control

const raceDetector = false

package e2e

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// TestChecksFail uses a build with the tag "broken", which violates one guarantee at a time, and verifies that the matching check
// reports it.
func TestChecksFail(t *testing.T) {
	if os.Getenv(faultsEnv) == "" {
		t.Skipf("real processes run only with %s=1, as make broken sets it", faultsEnv)
	}
	binary := buildBinary(t, "-tags", "broken")
	// The stewards are killed one after the other, each for long enough that the others take over its endpoints.
	var faults []fault
	for n := range smallShape.stewards {
		faults = append(faults, fault{at: time.Duration(6*n) * time.Second, kind: "kill", vm: "steward-" + strconv.Itoa(n), duration: 4 * time.Second})
	}
	faults = append(faults, fault{at: time.Second, kind: "endpoint leaves", endpoint: smallShape.engines, duration: 4 * time.Second},
		fault{at: 2 * time.Second, kind: "endpoint pauses", endpoint: smallShape.engines + 1, duration: 3 * time.Second},
		fault{at: 20 * time.Second, kind: "endpoint limit", endpoint: smallShape.engines, limit: 1, duration: contactTime + 2*limitWindow},
		fault{at: 20 * time.Second, kind: "deadly part", duration: 4 * contactTime}, fault{at: 20 * time.Second, kind: "deadly request", duration: 4 * contactTime})
	for _, check := range checks {
		t.Run(check.name, func(t *testing.T) {
			t.Parallel()
			broken, _ := runFaults(t, smallShape, binary, 1, faults, "BURDOCKSADDLE_BREAK="+check.name)
			if len(broken[check.name]) == 0 {
				t.Errorf("the check reported no violation; other checks: %v", broken)
			}
		})
	}
	// Two of three initial voters lose their disks. With too few voters for that, an acknowledged configuration is lost.
	t.Run("Voters", func(t *testing.T) {
		t.Parallel()
		lost := []fault{{at: 5 * time.Second, kind: "wipe disks", vms: []string{stewardName(0), stewardName(1)}, duration: maxDowntime / 2}}
		if broken, _ := runFaults(t, largeShape, binary, 1, lost, "BURDOCKSADDLE_BREAK=Voters"); len(broken["Config"]) == 0 {
			t.Errorf("check Config reported no violation; other checks: %v", broken)
		}
	})
}

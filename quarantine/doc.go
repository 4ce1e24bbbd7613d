// Package quarantine decides which requests, and which parts of prompts, are no
// longer sent to endpoints because they crash them. Evidence collects the crashes
// that gateways saw and the answers that speak for a part or a request; Table is the
// decision, which the stewards' log replicates. The package does no I/O and reads no
// clock.
package quarantine

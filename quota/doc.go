// Package quota divides the rate limits of teams among gateways: a Bucket is the leader's state for one team, a Wallet a gateway's. It does no
// I/O, starts no goroutine and reads no clock.
//
// In any window the amount used is at most rate x window + burst, plus what the delay between lending and use adds: a grant is used for at most
// GrantLife, a charge is sent within SendMargin, and two leaders overlap by at most ProofAge. The leader also names each gateway a lease, a rate
// that the gateway may use for LeaseLife after its last answered call if it gets no further answer. The leader counts the lease of a silent
// gateway as used, and a new leader fills its bucket only with what no unknown lease can use. So leases add nothing to the sum. What the rule
// allows above that sum is the allowance that gateways have without a leader.
package quota

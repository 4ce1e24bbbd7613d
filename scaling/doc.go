// Package scaling is the policy of model replicas on a platform deployment: it
// turns what gateways are asked for and what endpoints report into orders to
// load and unload, one endpoint and one order at a time. It decides from values
// alone, for loads in which demand moves between models within seconds.
package scaling

// Package replay runs arrival traces through the placement decisions with load
// times as plain functions and compares them with baselines and bounds.
package replay

// Package placement is the policy of loads: which model loads where and when,
// what is kept warm and what is evicted.
package placement

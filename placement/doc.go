// Package placement is the policy of loads: which model loads where and when,
// what is kept warm and what is evicted. It decides from values alone.
package placement

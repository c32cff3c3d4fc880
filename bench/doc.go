// Package bench measures the routing policy on virtual time against baselines.
// The simulator and the benchmarks are in the test files.
package bench

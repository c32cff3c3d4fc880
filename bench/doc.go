// Package bench compares the routing policy with baseline policies in a
// simulation with virtual time. It also measures the cost of a routing decision
// and the latency that a router adds. The simulator and the benchmarks are in
// the test files.
package bench

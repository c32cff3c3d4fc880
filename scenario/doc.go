// Package scenario contains end-to-end tests. The scripts in testdata run real
// router and stand-in processes on loopback addresses and inject faults: killed
// and suspended processes, network partitions and platform faults. Most commands
// of the scripts are documented in commands_test.go.
package scenario

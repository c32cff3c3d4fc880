// Package scenario proves the promises by scripts in testdata that run real
// router and stand-in processes on loopback, and provoke kills, cuts, freezes
// and platform faults. The commands are listed in commands_test.go.
package scenario

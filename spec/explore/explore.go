// Package explore is an exhaustive breadth-first checker for small models whose
// transitions call the product's decision functions. The project has its own
// because no model checker is available as a Go module that can be used as a
// dependency.
package explore

import (
	"fmt"
	"strings"
)

// Step is one transition to a successor state.
type Step[S any] struct {
	// Action names the transition in a counterexample.
	Action string
	State  S
}

// Model is a transition system over states of type S.
type Model[S any] struct {
	// Initial lists the start states.
	Initial []S
	// Next returns every successor of a state.
	Next func(S) []Step[S]
	// Key returns a canonical encoding; states with equal keys are the same.
	Key func(S) string
	// Invariant returns an error if the state violates a property of the model.
	Invariant func(S) error
	// MaxStates bounds the number of distinct states. If it is exceeded, Run
	// stops and leaves Result.Complete unset.
	MaxStates int
}

// Result is the outcome of an exploration.
type Result struct {
	// States is the number of distinct states visited.
	States int
	// Depth is the distance in steps of the last visited state from an initial
	// state. No visited state is farther away.
	Depth int
	// Violation is nil if the invariant held in every state.
	Violation error
	// Trace is the shortest path to the violation.
	Trace []string
	// Complete is set if every reachable state was visited.
	Complete bool
}

// String returns the result as text, with the counterexample if there is one.
func (r Result) String() string {
	if r.Violation == nil {
		return fmt.Sprintf("states=%d depth=%d complete=%t", r.States, r.Depth, r.Complete)
	}
	return fmt.Sprintf("states=%d depth=%d violation=%v\n  %s",
		r.States, r.Depth, r.Violation, strings.Join(r.Trace, "\n  "))
}

// node records how a state was first reached.
type node struct {
	parent int
	action string
	depth  int
}

// Run explores the model breadth first and stops at the first violation.
func Run[S any](m Model[S]) Result {
	seen := map[string]bool{}
	var nodes []node
	var queue []S
	add := func(s S, parent int, action string, depth int) {
		k := m.Key(s)
		if seen[k] {
			return
		}
		seen[k] = true
		nodes = append(nodes, node{parent: parent, action: action, depth: depth})
		queue = append(queue, s)
	}
	for _, s := range m.Initial {
		add(s, -1, "initial", 0)
	}
	depth := 0
	for i := 0; i < len(queue); i++ {
		s := queue[i]
		depth = nodes[i].depth
		if err := m.Invariant(s); err != nil {
			return Result{States: i + 1, Depth: depth, Violation: err, Trace: trace(nodes, i)}
		}
		if len(queue) > m.MaxStates {
			return Result{States: i + 1, Depth: depth}
		}
		for _, st := range m.Next(s) {
			add(st.State, i, st.Action, depth+1)
		}
		var zero S
		queue[i] = zero
	}
	return Result{States: len(queue), Depth: depth, Complete: true}
}

// trace returns the actions on the path from an initial state to node i.
func trace(nodes []node, i int) []string {
	var steps []string
	for ; i >= 0; i = nodes[i].parent {
		steps = append([]string{nodes[i].action}, steps...)
	}
	return steps
}

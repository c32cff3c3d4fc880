// Package rest is a client of the platform's table service, object store,
// membership list and weight store over HTTP with JSON bodies.
package rest

import "papayaspan.dev/papayaspan/internal/platform"

// URL paths of the platform's services.
const (
	PathGet     = "/table/get"
	PathScan    = "/table/scan"
	PathCommit  = "/table/commit"
	PathObjects = "/objects/"
	PathMembers = "/members"
	PathWeights = "/weights/"
)

// GetRequest requests rows by key.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest requests rows by prefix.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsReply carries the rows of a get or scan.
type RowsReply struct {
	Rows []platform.Row `json:"rows"`
}

// CommitRequest is one transaction.
type CommitRequest struct {
	Checks []platform.Check `json:"checks"`
	Writes []platform.Write `json:"writes"`
}

// MembersReply carries the membership list.
type MembersReply struct {
	Members []platform.Member `json:"members"`
}

// WeightsReply carries the versions of a model.
type WeightsReply struct {
	Versions []string `json:"versions"`
}

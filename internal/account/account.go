// Package account models client accounts, their contracts and their keys.
package account

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// ID names a client account.
type ID string

// Contract is the quota of a client account, which applies to its use of all VMs
// together.
type Contract struct {
	// Rate is the sustained rate in tokens per second.
	Rate float64 `json:"rate" validate:"gt=0"`
	// Burst is the capacity of the token bucket in tokens.
	Burst float64 `json:"burst" validate:"gt=0"`
	// Weight is the relative share of the account under contention; 0 means 1.
	Weight float64 `json:"weight,omitempty" validate:"gte=0"`
}

// Account is one client account.
type Account struct {
	ID       ID       `json:"id" validate:"required"`
	Contract Contract `json:"contract"`
}

// KeyID identifies a key without revealing its secret.
type KeyID string

// Key is a caller's API key. Only the hash of its secret is stored.
type Key struct {
	ID      KeyID `json:"id" validate:"required"`
	Account ID    `json:"account" validate:"required"`
	// Hash is the hexadecimal SHA-256 of the secret.
	Hash string `json:"hash" validate:"len=64,hexadecimal"`
}

// HashSecret returns the stored form of a secret.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Matches reports whether the key has this hash, in constant time.
func (k Key) Matches(hash string) bool {
	return subtle.ConstantTimeCompare([]byte(k.Hash), []byte(hash)) == 1
}

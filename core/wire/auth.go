package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
)

const (
	nonceBytes = 32
	// clientRole and serverRole keep a proof of one side from being reflected as a proof of the other.
	clientRole = "client"
	serverRole = "server"
)

func newNonce() []byte {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // crypto/rand.Read never fails
	return b
}

// prove returns the proof that its maker holds the deployment's key and saw both nonces.
func proofOf(key []byte, role, deployment string, ours, theirs []byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(role), []byte(deployment), ours, theirs} {
		h.Write([]byte{byte(len(part))})
		h.Write(part)
	}
	return h.Sum(nil)
}

package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
)

const (
	nonceBytes = 32
	// clientRole and serverRole prevent the proof of one side from being reflected as the proof of the other.
	clientRole = "client"
	serverRole = "server"
)

func newNonce() []byte {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // crypto/rand.Read never fails
	return b
}

// proofOf returns the proof that its sender holds the key of the deployment and received both nonces.
func proofOf(key []byte, role, deployment string, proverNonce, verifierNonce []byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, field := range [][]byte{[]byte(role), []byte(deployment), proverNonce, verifierNonce} {
		h.Write([]byte{byte(len(field))})
		h.Write(field)
	}
	return h.Sum(nil)
}

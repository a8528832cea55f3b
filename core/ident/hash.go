package ident

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of a prompt block in bytes, about 64 tokens.
	BlockBytes = 256
	// BlocksMax bounds the blocks hashed per prompt.
	BlocksMax = 64
	// TokenBytes is the assumed mean length of a token in bytes.
	TokenBytes = 4
)

// NewRequestID returns a random request id.
func NewRequestID() RequestID {
	var b [16]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return RequestID(hex.EncodeToString(b[:]))
}

// KeyedRequestID derives the request id of a call that carries an Idempotency-Key,
// so that every router computes the same id for the same call.
func KeyedRequestID(a AccountID, s Service, key string) RequestID {
	h := sha256.New()
	for _, part := range []string{string(a), string(s), key} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write([]byte(part))
	}
	return RequestID(hex.EncodeToString(h.Sum(nil)[:16]))
}

// HashKey returns the hash by which the API key of a client account is declared.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// FingerprintOf returns the fingerprint of a request's body, in one or more pieces, for one service.
func FingerprintOf(s Service, body ...[]byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(string(s))
	_, _ = d.Write([]byte{0})
	for _, b := range body {
		_, _ = d.Write(b)
	}
	return Fingerprint(d.Sum64())
}

// HashBlocks returns the chained hashes of the full blocks of prompt, at most BlocksMax.
func HashBlocks(prompt []byte) []Block {
	n := min(len(prompt)/BlockBytes, BlocksMax)
	blocks := make([]Block, 0, n)
	var prev uint64
	for i := range n {
		var seed [8]byte
		binary.BigEndian.PutUint64(seed[:], prev)
		d := xxhash.New()
		_, _ = d.Write(seed[:])
		_, _ = d.Write(prompt[i*BlockBytes : (i+1)*BlockBytes])
		prev = d.Sum64()
		blocks = append(blocks, Block(prev))
	}
	return blocks
}

// EstimateTokens returns the estimated number of tokens in n bytes of text.
func EstimateTokens(n int) Tokens { return Tokens((n + TokenBytes - 1) / TokenBytes) }

// RendezvousWeight returns the rendezvous-hashing weight of owner for key; the owner with the highest weight is chosen.
func RendezvousWeight(key, owner string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(owner)
	return d.Sum64()
}

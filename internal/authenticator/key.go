// Package authenticator generates keys for callers, and signs and verifies the request tokens that nodes send each other.
package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/lavenderhub/lavenderhub/internal/resolver"
)

const (
	// keyPrefix lets people and secret scanners recognize a key.
	keyPrefix = "lh_"
	// keySize is the entropy of a key in bytes.
	keySize = 32
	// keyIDSize is the number of random bytes in a key's ID.
	keyIDSize = 6
)

// NewKey returns a new key of 256 random bits and a random ID for it. The ID reveals nothing about the key.
func NewKey() (key, id string) {
	return keyPrefix + base64.RawURLEncoding.EncodeToString(randomBytes(keySize)), "k-" + hex.EncodeToString(randomBytes(keyIDSize))
}

// NewSecret returns a new random secret for signing tokens.
func NewSecret() []byte {
	return randomBytes(keySize)
}

func randomBytes(n int) []byte {
	b := make([]byte, n)
	// Read never returns an error; it ends the process if the system has no source of randomness.
	_, _ = rand.Read(b)
	return b
}

// KeyDigest returns the SHA-256 digest of a key, which is stored in place of the key.
func KeyDigest(key string) resolver.Digest {
	return sha256.Sum256([]byte(key))
}

// BearerToken returns the bearer token in the Authorization header. It returns false unless there is exactly one such header
// and it has a bearer token.
func BearerToken(h http.Header) (string, bool) {
	values := h.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", false
	}
	return strings.TrimSpace(key), true
}

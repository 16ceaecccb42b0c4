// Package authenticator makes and checks callers' keys and the signed tokens that travel between nodes.
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
	// keyPrefix lets people and scanners recognise a key.
	keyPrefix = "lh_"
	// keySize is the entropy of a key in bytes.
	keySize = 32
	// keyIDSize is the length of a key's id in random bytes.
	keyIDSize = 6
)

// NewKey returns a fresh key of 256 random bits and an id that is safe to show.
func NewKey() (key, id string) {
	return keyPrefix + base64.RawURLEncoding.EncodeToString(random(keySize)), "k-" + hex.EncodeToString(random(keyIDSize))
}

// NewSecret returns a fresh secret that signs tokens.
func NewSecret() []byte {
	return random(keySize)
}

func random(n int) []byte {
	b := make([]byte, n)
	// Read never fails; it stops the process when the system has no randomness.
	_, _ = rand.Read(b)
	return b
}

// KeyDigest returns the digest of a key.
func KeyDigest(key string) resolver.Digest {
	return sha256.Sum256([]byte(key))
}

// BearerToken returns the key in an Authorization header. It returns false unless there is exactly one.
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

package key

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
)

const (
	secretBytes  = 32
	secretPrefix = "ssk_"
	hashPrefix   = "sha256:"
)

// Create returns a new secret with 256 bits from random, and the hash of the secret to publish. It fails if
// random returns too few bytes.
func Create(random io.Reader) (secret, hash string, err error) {
	raw := make([]byte, secretBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return "", "", fmt.Errorf("reading random bytes for a key: %w", err)
	}
	secret = secretPrefix + base64.RawURLEncoding.EncodeToString(raw)
	return secret, Hash(secret), nil
}

// Hash returns the hash of secret in the form used in configurations.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hashPrefix + hex.EncodeToString(sum[:])
}

// ParseHash decodes a hash in the form returned by Hash. It reports false for any other form.
func ParseHash(hash string) (sum [sha256.Size]byte, ok bool) {
	digits, ok := strings.CutPrefix(hash, hashPrefix)
	if !ok || len(digits) != hex.EncodedLen(len(sum)) || strings.ToLower(digits) != digits {
		return sum, false
	}
	_, err := hex.Decode(sum[:], []byte(digits))
	return sum, err == nil
}

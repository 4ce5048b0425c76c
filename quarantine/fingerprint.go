package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/joomcode/errorx"
)

// A Fingerprint identifies all requests with the same content.
type Fingerprint [16]byte

var (
	namespace = errorx.NewNamespace("quarantine")
	// ErrMalformed is the error type for data that can't be decoded.
	ErrMalformed = namespace.NewType("malformed")
)

// NewFingerprint returns the fingerprint of a request from its parts, such as workspace, method, path and body. The
// boundaries between the parts are significant.
func NewFingerprint(parts ...[]byte) Fingerprint {
	hash := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	var fp Fingerprint
	copy(fp[:], hash.Sum(nil))
	return fp
}

// ParseFingerprint parses the hexadecimal form that String returns. The error is of type ErrMalformed.
func ParseFingerprint(text string) (Fingerprint, error) {
	var fp Fingerprint
	raw, err := hex.DecodeString(text)
	if err != nil {
		return fp, ErrMalformed.Wrap(err, "fingerprint %q", text)
	}
	if len(raw) != len(fp) {
		return fp, ErrMalformed.New("fingerprint %q: want %d hexadecimal digits", text, 2*len(fp))
	}
	copy(fp[:], raw)
	return fp, nil
}

// String returns the fingerprint as hexadecimal digits.
func (fp Fingerprint) String() string {
	return hex.EncodeToString(fp[:])
}

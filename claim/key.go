package claim

import (
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/google/uuid"
)

const (
	maximumTextBytes    = 255
	maximumAttemptBytes = 128
	uuidTextBytes       = 36
	timedUUIDVersion    = 7
)

// A Key identifies a request that runs at most once.
type Key struct {
	Workspace      string
	Route          string
	IdempotencyKey string
}

// Valid reports whether all fields are printable, non-empty and at most 255 bytes long.
func (k Key) Valid() bool {
	return validText(k.Workspace) && validText(k.Route) && validText(k.IdempotencyKey)
}

// Time returns the time in an idempotency key that is a UUID of version 7. It reports false for an untimed key, which
// is any other key.
func (k Key) Time() (time.Time, bool) {
	if len(k.IdempotencyKey) != uuidTextBytes {
		return time.Time{}, false
	}
	id, err := uuid.Parse(k.IdempotencyKey)
	if err != nil || id.Version() != timedUUIDVersion || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}

func validText(text string) bool {
	if text == "" || len(text) > maximumTextBytes || !utf8.ValidString(text) {
		return false
	}
	for _, r := range text {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

package claim

import (
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/google/uuid"
)

const (
	maximumKeyBytes     = 255
	maximumAttemptBytes = 128
	uuidTextBytes       = 36
	uuidVersionOfTime   = 7
)

// A Key names what runs at most once.
type Key struct {
	Workspace      string
	Route          string
	IdempotencyKey string
}

// Valid tells whether all parts are printable, not empty and at most 255 bytes.
func (k Key) Valid() bool {
	return printable(k.Workspace) && printable(k.Route) && printable(k.IdempotencyKey)
}

// Time returns the time that an idempotency key in the form of a UUID of version 7 carries.
func (k Key) Time() (time.Time, bool) {
	if len(k.IdempotencyKey) != uuidTextBytes {
		return time.Time{}, false
	}
	id, err := uuid.Parse(k.IdempotencyKey)
	if err != nil || id.Version() != uuidVersionOfTime || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}

func printable(text string) bool {
	if text == "" || len(text) > maximumKeyBytes || !utf8.ValidString(text) {
		return false
	}
	for _, r := range text {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

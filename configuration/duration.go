package configuration

import (
	"bytes"
	"encoding/json"
	"time"
)

// duration is a time.Duration that is encoded as text.
type duration time.Duration

// MarshalText returns the duration as text such as "1.5s".
func (d duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration such as "1.5s".
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = duration(parsed)
	return err
}

func unmarshalStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

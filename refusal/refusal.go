package refusal

import (
	"errors"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("refusal")
	errorType = namespace.NewType("refused")
	kindKey   = errorx.RegisterProperty("kind")
)

// New returns an error of the given kind. The message is for logs.
func New(kind Kind, format string, args ...any) error {
	return errorType.New(format, args...).WithProperty(kindKey, kind)
}

// Wrap returns an error of the given kind that wraps cause. The message describes the operation that failed.
func Wrap(cause error, kind Kind, format string, args ...any) error {
	return errorType.Wrap(cause, format, args...).WithProperty(kindKey, kind)
}

// KindOf returns the kind of err, or Internal if err has no kind.
func KindOf(err error) Kind {
	var typed *errorx.Error
	if !errors.As(err, &typed) {
		return Internal
	}
	value, ok := typed.Property(kindKey)
	if !ok {
		return Internal
	}
	kind, ok := value.(Kind)
	if !ok {
		return Internal
	}
	return kind
}

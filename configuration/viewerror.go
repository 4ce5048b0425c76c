package configuration

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("configuration")

var (
	// RevisionOld is the error type for a revision below the current one.
	RevisionOld = namespace.NewType("revision-old")
	// RevisionGap is the error type for changes relative to a revision that the view has not reached yet.
	RevisionGap = namespace.NewType("revision-gap")
	// SetBroken is the error type for changes that cannot be applied or that result in an invalid set.
	SetBroken = namespace.NewType("set-broken")
)

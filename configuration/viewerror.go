package configuration

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("configuration")

var (
	// RevisionOld is the type of the error for a revision below the one in force.
	RevisionOld = namespace.NewType("revision-old")
	// RevisionGap is the type of the error for changes that build on a revision not yet in force.
	RevisionGap = namespace.NewType("revision-gap")
	// SetBroken is the type of the error for changes that don't lead to a whole set.
	SetBroken = namespace.NewType("set-broken")
)

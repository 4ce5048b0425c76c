// Package tree decides at the entry of a call tree whether a root request may begin, by what its calls will cost below
// and what the services there have room for.
package tree

// Package lint finds objects of a valid set that have no effect or contradict each other. It has no I/O.
package lint

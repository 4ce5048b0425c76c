// Package returning chooses when refused callers may return, so that they come while there is room for them.
package returning

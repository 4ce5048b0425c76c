// Package retry bounds the attempts of a whole request and of a service.
//
// An allowance is moved down the call tree and never copied, so that all extra attempts of the tree together
// are at most the allowance that the whole request entered with.
package retry

// Package retry bounds the retries of a root request and towards a service.
//
// An allowance of extra attempts is moved down the call tree and never copied. All extra attempts in the
// tree together therefore never exceed the allowance that the root request started with.
package retry

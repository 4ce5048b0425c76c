// Package baseline implements the ways of calling services with which sapphirespread is compared.
//
// Without control, a service sends each nested call directly to a random target, with no limit and no retry. With
// fixed limits, each target has a fixed limit on requests in flight, and each nested call is retried naively up to
// three times.
package baseline

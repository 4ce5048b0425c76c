// Package tomlfile decodes TOML into structs and reports every fault with its line. The decoder of the TOML library
// stops at the first fault.
package tomlfile

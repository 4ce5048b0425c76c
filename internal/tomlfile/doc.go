// Package tomlfile decodes TOML into structs and collects every fault with its line, where the
// library's own decoder stops at the first.
package tomlfile

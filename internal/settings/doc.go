// Package settings loads the TOML settings file of a process and reports every problem in it before the process starts.
package settings

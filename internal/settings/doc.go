// Package settings reads the TOML settings of a process and checks them whole before anything starts.
package settings

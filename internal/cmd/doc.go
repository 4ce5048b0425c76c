// Package cmd implements the commands of sapphirespread, one file per command.
package cmd

// Package cmd holds the commands of sapphirespread, one file each.
package cmd

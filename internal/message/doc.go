// Package message turns the types of the decisions into messages between processes, and back.
package message

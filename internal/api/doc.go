// Package api holds the OpenAPI file of the operator API; package oas below it is what ogen makes of it.
package api

//go:generate go tool -modfile=../../tools/go.mod ogen -config ogen.yaml -target oas -package oas -clean openapi.yaml

// Package examples holds two complete deployments: objects to publish, and settings of their processes.
package examples

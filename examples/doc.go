// Package examples contains two complete deployments with the objects to publish and the settings of each process.
package examples

// Package deployment describes the services, targets, routes and workspaces of a deployment, scaled to the machine
// that it runs on, and computes the best goodput that the deployment can reach.
package deployment

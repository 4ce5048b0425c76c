// Package deployment describes the services, targets, routes and workspaces of a deployment, scaled to
// the machine that it runs on, and works out the best goodput that it could reach.
package deployment

// Package measure runs the same load against sapphirespread and its baselines and compares four measures: goodput of
// root requests, recovery time, the worst-served workspace and wrongful refusals.
package measure

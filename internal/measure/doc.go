// Package measure runs the same load against sapphirespread and its baselines and compares them by four
// measures: goodput of whole requests, time to recover, the worst-served workspace and wrongful refusals.
package measure

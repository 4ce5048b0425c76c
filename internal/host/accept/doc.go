// Package accept accepts connections and outlasts the lack of descriptors or memory.
package accept

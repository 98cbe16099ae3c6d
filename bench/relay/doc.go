// Package relay holds the benchmark of what one token costs on its way through
// an entry and an agent, beside a bare relay of the same event stream.
package relay

// Package relay holds a benchmark of the cost of forwarding one token through an entry
// and an agent, compared with a minimal relay of the same event stream.
package relay

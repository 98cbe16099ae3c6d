// Package rollout tests roll-outs of versions with real entry processes, a stand-in for the
// platform's store and targets of two versions, all on loopback addresses. It has no code of its
// own; its tests each bring about one failure.
package rollout

//go:build review

package rig

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
)

// replicaProcess is a replica that runs.
type replicaProcess struct {
	replicaOptions
	command *exec.Cmd
}

// log returns the lines that the replica has written.
func (p *replicaProcess) log() []string {
	data, _ := os.ReadFile(p.Log)
	return strings.Split(strings.TrimSpace(string(data)), "\n")
}

// bornAt returns when the replica last started, in Unix milliseconds.
func (p *replicaProcess) bornAt() int64 {
	born := int64(0)
	for _, line := range p.log() {
		_, _ = fmt.Sscanf(line, "born %d", &born)
	}
	return born
}

// runs returns how often a request arrived.
func (p *replicaProcess) runs(id string) int {
	n := 0
	for _, line := range p.log() {
		if strings.Contains(line, " run "+id+" ") {
			n++
		}
	}
	return n
}

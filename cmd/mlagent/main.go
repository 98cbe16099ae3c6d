// Command mlagent is the process beside a target.
package main

import (
	"github.com/mulberrylane/mulberrylane"
	"github.com/mulberrylane/mulberrylane/process/daemon"
	"github.com/mulberrylane/mulberrylane/process/settings"
)

func main() {
	daemon.Main[settings.Agent]("mlagent", "Serve one target", mulberrylane.NewAgent)
}

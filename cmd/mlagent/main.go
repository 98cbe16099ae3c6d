// Command mlagent runs an agent, the process beside one target.
package main

import (
	"github.com/mulberrylane/mulberrylane"
	"github.com/mulberrylane/mulberrylane/process/daemon"
	"github.com/mulberrylane/mulberrylane/process/settings"
)

func main() {
	daemon.Main[settings.Agent]("mlagent", "Serve one target", mulberrylane.NewAgent)
}

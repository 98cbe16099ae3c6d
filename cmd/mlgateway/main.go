// Command mlgateway runs the entry of a deployment on the users' platform.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/mulberrylane/mulberrylane/process/daemon"
	"github.com/mulberrylane/mulberrylane/process/gateway"
)

func main() {
	// The gateway handles the signal only while it runs; at the start and the end it would
	// end the process.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	daemon.Main[gateway.Settings]("mlgateway", "Serve callers on the users' platform", gateway.New)
}

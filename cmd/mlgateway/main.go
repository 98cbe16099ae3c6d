// Command mlgateway runs the entry of a deployment on the users' platform.
package main

import (
	"github.com/mulberrylane/mulberrylane/process/daemon"
	"github.com/mulberrylane/mulberrylane/process/gateway"
)

func main() {
	daemon.Main[gateway.Settings]("mlgateway", "Serve callers on the users' platform", gateway.New)
}

// Command mlentry runs an entry, the process that callers send requests to.
package main

import (
	"github.com/mulberrylane/mulberrylane"
	"github.com/mulberrylane/mulberrylane/process/daemon"
	"github.com/mulberrylane/mulberrylane/process/settings"
)

func main() {
	daemon.Main[settings.Entry]("mlentry", "Serve callers", mulberrylane.NewEntry)
}

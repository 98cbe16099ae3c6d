// Command mlctl operates, measures and tests mulberrylane.
package main

import (
	"fmt"
	"os"

	"github.com/mulberrylane/mulberrylane/command"
)

func main() {
	if err := command.NewRoot().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(int(command.ExitCodeOf(err)))
	}
}

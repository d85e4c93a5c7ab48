// Command adapter hosts balancers for the simulator: it reads events on standard input and writes actions on standard
// output.
package main

import (
	"fmt"
	"os"

	"swiftdeal/internal/simadapter"
)

func main() {
	if err := simadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

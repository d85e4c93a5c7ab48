// Command swiftdeal is a load balancer for jobs. It runs one node and has the commands with which operators inspect and
// control a running node and its fleet.
//
// The exit code is 0 on success, 1 on an error, and 80 on a usage error. Commands that call a running node use further
// exit codes: see control_client.go.
package main

import (
	"fmt"

	"github.com/alecthomas/kong"
)

// version is the program's version. A build can set another one with the linker's -X flag.
var version = "0.1.0"

// commandLine declares the commands for kong. The names of commands, arguments and flags are in the struct tags.
type commandLine struct {
	Serve   serveCommand   `cmd:"" name:"serve" help:"Run a node until SIGTERM, then drain it."`
	Check   checkCommand   `cmd:"" name:"check" help:"Check the configuration and say what follows from it."`
	Fleet   fleetCommands  `cmd:"" name:"fleet" help:"Ask a running node about its fleet."`
	Cost    costCommand    `cmd:"" name:"cost" help:"Count what requests cost a node, against a recorded baseline."`
	Version versionCommand `cmd:"" name:"version" help:"Print the version."`

	CostNode costNodeCommand `cmd:"" name:"cost-node" hidden:""`
}

func main() {
	description := kong.Description("A load balancer for jobs.")
	ctx := kong.Parse(&commandLine{}, kong.Name("swiftdeal"), description, kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}

// versionCommand prints the program's version.
type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run() error {
	fmt.Println("swiftdeal", version)
	return nil
}

package main

import (
	"fmt"

	"swiftdeal/internal/testing/scale/chart"
	"swiftdeal/internal/testing/scale/record"
)

type plotCmd struct {
	Runs string `default:"bench/scale"       help:"Folder of the runs."`
	To   string `default:"bench/scale/plots" help:"Folder for the pictures; older ones there are taken away."`
}

// Run runs the command.
func (p plotCmd) Run() error {
	runs, err := record.ReadAll(p.Runs)
	if err != nil {
		return err
	}
	n, err := chart.Write(p.To, runs)
	if err == nil {
		fmt.Printf("%d pictures of %d runs\n", n, len(runs))
	}
	return err
}

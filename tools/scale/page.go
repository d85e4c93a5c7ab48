package main

import "swiftdeal/internal/testing/scale/page"

type pageCmd struct {
	File  string `default:"docs/CAPACITY.md" help:"The page."`
	Runs  string `default:"bench/scale"      help:"Folder of the runs."`
	Check bool   `                           help:"Change nothing; fail if the page is not as the runs have it."`
}

// Run runs the command.
func (p pageCmd) Run() error {
	if p.Check {
		return page.Check(p.File, p.Runs)
	}
	return page.Write(p.File, p.Runs)
}

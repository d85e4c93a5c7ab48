// Command rig plays one case of the review against the project's own program. It is the platform, discovery, the workers and the
// clients of a small deployment on loopback, on the real clock. It exits with 1 if the rule of the case was broken, 0 if it held and
// 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitInvalid = 2
)

// scenarios holds the cases by name.
var scenarios = map[string]func(w *world, trouble bool) (broken []string, err error){
	"handover": playHandover,
	"endless":  playEndless,
	"halves":   playHalves,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case args[0] and writes its record to the file args[1].
func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD-FILE, from the root of the repository; TROUBLE=0 leaves the disruption out")
		return exitInvalid
	}
	trouble := os.Getenv("TROUBLE") != "0"
	path, err := filepath.Abs(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	w, err := newWorld(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	defer w.close()
	w.closeOnSignal()
	broken, err := scenarios[args[0]](w, trouble)
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitInvalid
	}
	if len(broken) > 0 {
		for _, line := range broken {
			w.note("BROKEN: %s", line)
			fmt.Println("broken:", line)
		}
		return exitBroken
	}
	w.note("the rule held")
	fmt.Println("held")
	return exitHeld
}

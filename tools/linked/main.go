// Command linked checks that a program is dynamically linked against the C library. It exits with status 1 if it is not.
package main

import (
	"debug/elf"
	"fmt"
	"os"
	"slices"
	"strings"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: linked PROGRAM")
		os.Exit(2)
	}
	if err := check(os.Args[1]); err != nil {
		fmt.Fprintf(os.Stderr, "linked: %s: %v\n", os.Args[1], err)
		os.Exit(1)
	}
}

// check returns an error unless the ELF file has an .interp section and imports the C library.
func check(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	libs, err := f.ImportedLibraries()
	if err != nil {
		return err
	}
	if f.Section(".interp") == nil ||
		!slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.") }) {
		return fmt.Errorf(
			"not linked dynamically against the C library (build with cgo and -ldflags=-linkmode=external)",
		)
	}
	return nil
}

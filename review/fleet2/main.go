// Command fleet2 runs the cases of a review: a small deployment of the platform's programs as processes of
// their own, with stand-ins for servers, clients and the operator. It exits with 1 if the rule of the case
// was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Results of a case, as exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. trouble tells whether the disruption takes place.
var cases = map[string]func(r *record, trouble bool) error{}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitNotRun
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if err := play(r, os.Getenv("TROUBLE") != "0"); err != nil {
		r.logf("the case couldn't run: %v", err)
		_, _ = r.end()
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := r.end()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken > 0:
		fmt.Printf("%s: the rule was broken %d times\n", *name, broken)
		return exitBroken
	}
	fmt.Printf("%s: the rule held\n", *name)
	return exitHeld
}

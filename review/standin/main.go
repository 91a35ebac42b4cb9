// Command standin runs one case of the review: it starts entry hosts as separate
// processes before stand-ins of the store, the routers, endpoints and requesters, and
// checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is a case.
type scenario struct {
	// play plays the case on a running deployment and reports whether its rule was
	// broken.
	play func(d *deployment, trouble bool) (broken bool, err error)
	// flowLifetime is the age at which requesters replace a long flow.
	flowLifetime time.Duration
}

var scenarios = map[string]scenario{
	"route-moves":       {play: routeMoves, flowLifetime: 45 * time.Second},
	"foreign-endpoint":  {play: foreignEndpoint, flowLifetime: 45 * time.Second},
	"foreign-shadow":    {play: foreignShadow, flowLifetime: 10 * time.Second},
	"foreign-overwrite": {play: foreignOverwrite, flowLifetime: 45 * time.Second},
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "case to play")
	program := flag.String("program", "target/cactuspin-entry", "program of the entry hosts")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	x, found := scenarios[*name]
	if !found {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecorder(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	d, err := newDeployment(*program, &x, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		<-signals
		d.close()
		os.Exit(exitNotRun)
	}()
	if err := d.start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := x.play(d, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Printf("case %s, disruption %t: %s\n", *name, trouble, d.summary())
	if broken {
		fmt.Println("the rule was BROKEN")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

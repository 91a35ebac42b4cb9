// Command standin2 runs the cases of the second review: entry hosts as separate processes
// before small stand-ins of the store, the routers, the requesters and the endpoints.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes beside those of recorder.close.
const exitNotRun = 2

// maxLength limits a run.
const maxLength = 110 * time.Second

// scenario is a case. Without trouble, it leaves out the disruption.
type scenario struct {
	shape shape
	run   func(ctx context.Context, d *deployment, trouble bool) error
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs the case whose name and record are the arguments.
func run(args []string) int {
	if len(args) != 2 {
		fmt.Println("usage: standin2 CASE RECORD; TROUBLE=0 leaves out the disruption")
		return exitNotRun
	}
	s, ok := scenarios()[args[0]]
	if !ok {
		fmt.Println("no such case:", args[0])
		return exitNotRun
	}
	rec, err := newRecorder(args[1])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxLength)
	defer cancel()
	d, err := newDeployment(ctx, rec, &s.shape)
	if d != nil {
		defer d.stop()
		stopOnSignal(d)
	}
	if err == nil {
		err = s.run(ctx, d, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		rec.add("not run: %v", err)
		rec.close()
		fmt.Println("not run:", err)
		return exitNotRun
	}
	rec.add("requests answered: %d, not answered: %d", d.traffic.answered, d.traffic.failed)
	return rec.close()
}

// stopOnSignal ends all processes if the case is asked to end.
func stopOnSignal(d *deployment) {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-asked
		d.stop()
		os.Exit(exitNotRun)
	}()
}

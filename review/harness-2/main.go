//go:build review

// Command harness-2 runs the scripts of the review's cases 4 to 8: it starts gateways as
// separate processes, with stand-ins for the store, the operator, workers and clients.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

func newReader(b []byte) io.Reader { return bytes.NewReader(b) }

// outcome is what a case found.
type outcome struct{ broken []string }

func (o *outcome) add(format string, args ...any) {
	o.broken = append(o.broken, fmt.Sprintf(format, args...))
}

var cases = map[string]func(b *bed, trouble bool, o *outcome){
	"oversized-watch": oversizedWatch, "restart-in-rollout": restartInRollout, "scheduler-without-store": schedulerWithoutStore,
	"cut-watches": cutWatches,
}

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE FOLDER")
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	record := &recorder{file: file, start: time.Now()}
	var b *bed
	defer func() {
		if p := recover(); p != nil {
			failed, ok := p.(cannotRun)
			if !ok {
				panic(p)
			}
			record.line("the case could not run: %v", failed.error)
			code = 2
		}
		if b != nil {
			b.stop()
			if os.Getenv("KEEP_LOGS") == "" {
				_ = os.RemoveAll(b.dir)
			} else {
				fmt.Println("logs in", b.dir)
			}
		}
	}()
	if _, err := os.Stat("target/persimmonridge"); err != nil {
		panic(cannotRun{errors.New("target/persimmonridge is missing: build the project first, and run this in the repository")})
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("case %s, with the disruption: %t", os.Args[1], trouble)
	b = newBed(record, 3)
	var o outcome
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		for _, g := range b.gateways {
			g.signal(syscall.SIGKILL)
		}
		os.Exit(2)
	}()
	cases[os.Args[1]](b, trouble, &o)
	for _, text := range o.broken {
		record.line("BROKEN %s", text)
		fmt.Println("BROKEN", text)
	}
	if len(o.broken) > 0 {
		return 1
	}
	record.line("the rule held")
	return 0
}

package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/config/settings"
	"github.com/persimmonridge/persimmonridge/internal/role/agent"
	"github.com/persimmonridge/persimmonridge/internal/role/entry"
)

// drainTimeout limits a planned stop; it is longer than the longest request deadline.
const drainTimeout = 6 * time.Minute

type entryCommand struct {
	Settings string `required:"" type:"existingfile" help:"Settings file of this process."`
}

// Run implements kong's command.
func (c *entryCommand) Run(ctx context.Context) error {
	raw, err := settings.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	s, err := settings.ParseEntry(raw)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", s.CallerAddress())
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp", s.PeerAddress())
	if err != nil {
		return err
	}
	e := entry.New(s, callers, peers, newLogger(s.LogLevel()), time.Now)
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return errors.Join(e.Drain(drainCtx), e.Close())
}

type agentCommand struct {
	Settings string `required:"" type:"existingfile" help:"Settings file of this process."`
}

// Run implements kong's command.
func (c *agentCommand) Run(ctx context.Context) error {
	raw, err := settings.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	s, err := settings.ParseAgent(raw)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.PeerAddress())
	if err != nil {
		return err
	}
	// The incarnation is the start time in nanoseconds, which by this VM's clock
	// is higher than that of any earlier process.
	a := agent.New(s, listener, uint64(time.Now().UnixNano()), newLogger(s.LogLevel()), time.Now)
	if s.StatusAddress() != "" {
		stop, err := serveStatus(s.StatusAddress(), a.Handler())
		if err != nil {
			return errors.Join(err, a.Close())
		}
		defer stop()
	}
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return errors.Join(a.Drain(drainCtx), a.Close())
}

func serveStatus(address string, handler http.Handler) (stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }, nil
}

func newLogger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/dial"
	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
	"github.com/persimmonridge/persimmonridge/internal/limit/retry"
	"github.com/persimmonridge/persimmonridge/internal/observe/logs"
	"github.com/persimmonridge/persimmonridge/internal/role/gateway"
	"github.com/persimmonridge/persimmonridge/platform"
)

// memoryShare is the part of a process's memory at which collections become
// frequent; the rest is for buffers of the kernel that count as well.
const memoryShare = 0.6

const (
	// settingsEvery is how often the settings file is read again.
	settingsEvery = 2 * time.Second
	// flushWithin bounds the writing of the last lines of the log.
	flushWithin = 200 * time.Millisecond
)

type gatewayCommand struct{}

// Run implements kong's command.
func (c *gatewayCommand) Run(ctx context.Context) error {
	// The signal also ends a process that does not ask for it.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	handler := logs.New(os.Stdout, time.Now)
	logger := slog.New(handler)
	err := c.serve(ctx, handler, logger, reloads)
	flush, cancel := context.WithTimeout(context.Background(), flushWithin)
	defer cancel()
	return errors.Join(err, handler.Close(flush))
}

func (c *gatewayCommand) serve(ctx context.Context, handler *logs.Handler, logger *slog.Logger, reloads <-chan os.Signal) error {
	node, err := platform.LoadNode()
	if err != nil {
		logger.Error("settings refused", "err", err)
		return err
	}
	debug.SetMemoryLimit(int64(float64(node.MemoryBytes) * memoryShare))
	g := gateway.New(gateway.Parts{
		Settings: settingsOf(node), Store: platform.NewStore(node.Store, dial.Dialer{}.DialContext),
		Decoder: platform.Decoder{}, Translator: platform.Headers{}, Names: platform.AnswerNames(),
		Dialer: dial.Dialer{}, Listen: net.Listen, Logger: logger, LeftOut: handler.LeftOut, Now: time.Now,
	})
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go watchSettings(watching, reloads, node, g, logger)
	return g.Run(ctx)
}

// watchSettings reads the settings again when the platform signals a change,
// and every settingsEvery, because they also change without a signal. Settings
// that cannot be used change nothing.
func watchSettings(ctx context.Context, reloads <-chan os.Signal, current platform.Node, g *gateway.Gateway, logger *slog.Logger) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			logger.Info("told that the settings changed")
		case <-ticker.C:
		}
		next, err := platform.LoadNode()
		if err != nil {
			logger.Error("changed settings refused, the old ones stay in force", "err", err)
			continue
		}
		if reflect.DeepEqual(next, current) {
			continue
		}
		current = next
		g.Reload(settingsOf(next))
	}
}

func settingsOf(node platform.Node) gateway.Settings {
	return gateway.Settings{
		Name: node.Name, Domain: node.Domain, Callers: node.Callers, Readiness: node.Readiness,
		Links: node.Links, Metrics: node.Metrics, Seeds: node.Seeds, Grace: node.Grace, Apply: node.Apply,
		Processor: node.Processor,
		Retry:     retry.Settings{Share: node.RetryShare, Slack: node.RetrySlack, Window: node.RetryWindow},
		Quota:     quota.Options{Full: node.First, Slack: node.QuotaSlack, Over: node.QuotaOver, Window: node.QuotaWindow},
		ConfigKey: platform.ConfigPrefix, UpstreamPrefix: platform.UpstreamPrefix, OrderPrefix: platform.RolloutPrefix,
	}
}

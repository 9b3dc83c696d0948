package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/fleet/dial"
	"github.com/persimmonridge/persimmonridge/internal/limit/quota"
	"github.com/persimmonridge/persimmonridge/internal/limit/retry"
	"github.com/persimmonridge/persimmonridge/internal/role/gateway"
	"github.com/persimmonridge/persimmonridge/platform"
)

// memoryShare is the part of a process's memory at which collections become
// frequent; the rest is for buffers of the kernel that count as well.
const memoryShare = 0.6

type gatewayCommand struct{}

// Run implements kong's command.
func (c *gatewayCommand) Run(ctx context.Context) error {
	logger := slog.New(slog.NewTextHandler(os.Stdout, nil))
	node, err := platform.LoadNode()
	if err != nil {
		logger.Error("settings refused", "err", err)
		return err
	}
	debug.SetMemoryLimit(int64(float64(node.MemoryBytes) * memoryShare))
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	store := platform.NewStore(node.Store, dial.Dialer{}.DialContext)
	return gateway.New(gateway.Parts{
		Settings: settingsOf(node), Store: store, Decoder: platform.Decoder{}, Translator: platform.Headers{},
		Names: platform.AnswerNames(), Dialer: dial.Dialer{}, Listen: net.Listen, Logger: logger, Now: time.Now,
	}).Run(ctx)
}

func settingsOf(node platform.Node) gateway.Settings {
	return gateway.Settings{
		Name: node.Name, Domain: node.Domain, Callers: node.Callers, Readiness: node.Readiness,
		Links: node.Links, Metrics: node.Metrics, Seeds: node.Seeds, Grace: node.Grace, Apply: node.Apply,
		Retry:     retry.Settings{Share: node.RetryShare, Slack: node.RetrySlack, Window: node.RetryWindow},
		Quota:     quota.Options{Full: node.First, Slack: node.QuotaSlack},
		ConfigKey: platform.ConfigPrefix, UpstreamPrefix: platform.UpstreamPrefix,
	}
}

package main

import (
	"context"
	"errors"
	"log/slog"
	"math"
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
	"github.com/persimmonridge/persimmonridge/internal/limit/warmup"
	"github.com/persimmonridge/persimmonridge/internal/observe/logs"
	"github.com/persimmonridge/persimmonridge/internal/role/gateway"
	"github.com/persimmonridge/persimmonridge/platform"
)

// memoryLimitShare is the fraction of the process's memory set as the memory
// limit of the Go runtime, near which collections become frequent; kernel
// buffers, which count towards the same memory, need the rest.
const memoryLimitShare = 0.6

const (
	// settingsPollInterval is the interval at which the settings are read again.
	settingsPollInterval = 2 * time.Second
	// logFlushTimeout limits the time to write the remaining log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
)

type gatewayCommand struct{}

// Run implements kong's command.
func (c *gatewayCommand) Run(ctx context.Context) error {
	// Without a handler SIGHUP would end the process.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	handler := logs.New(os.Stdout, time.Now)
	logger := slog.New(handler)
	err := c.serve(ctx, handler, logger, reloads)
	flushCtx, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
	defer cancel()
	return errors.Join(err, handler.Close(flushCtx))
}

func (c *gatewayCommand) serve(ctx context.Context, handler *logs.Handler, logger *slog.Logger, reloads <-chan os.Signal) error {
	node, err := platform.LoadNode()
	if err != nil {
		logger.Error("invalid settings", "err", err)
		return err
	}
	limitRuntime(node)
	g := gateway.New(gateway.Dependencies{
		Settings: gatewaySettings(node), Store: platform.NewStore(node.Store, dial.Dialer{}.DialContext),
		Decoder: platform.Decoder{}, Headers: platform.Headers{}, AnswerHeaders: platform.AnswerHeaders(),
		Dialer: dial.Dialer{}, Listen: net.Listen, Logger: logger, OmittedLogLines: handler.Omitted, Now: time.Now,
	})
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	go watchSettings(watchCtx, reloads, node, g, logger)
	return g.Run(ctx)
}

// watchSettings reads the settings again on SIGHUP and every
// settingsPollInterval, because they also change without a signal. Invalid
// settings are logged and ignored.
func watchSettings(ctx context.Context, reloads <-chan os.Signal, current platform.Node, g *gateway.Gateway, logger *slog.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			logger.Info("reading the settings again after SIGHUP")
		case <-ticker.C:
		}
		next, err := platform.LoadNode()
		if err != nil {
			logger.Error("changed settings are invalid; the previous settings stay in force", "err", err)
			continue
		}
		if reflect.DeepEqual(next, current) {
			continue
		}
		current = next
		limitRuntime(next)
		g.Reload(gatewaySettings(next))
	}
}

// limitRuntime sets the memory limit of the Go runtime by the settings.
func limitRuntime(node platform.Node) {
	limit := int64(math.MaxInt64)
	if node.MemoryBytes > 0 {
		limit = int64(float64(node.MemoryBytes) * memoryLimitShare)
	}
	debug.SetMemoryLimit(limit)
}

func gatewaySettings(node platform.Node) gateway.Settings {
	return gateway.Settings{
		Name: node.Name, Domain: node.Domain, CallerAddress: node.CallerAddress, ReadinessAddress: node.ReadinessAddress,
		LinkAddress: node.LinkAddress, MetricsAddress: node.MetricsAddress, SeedAddresses: node.SeedAddresses, GracePeriod: node.GracePeriod, ConfigApplyLimit: node.ConfigApplyLimit,
		CPUCores: node.CPUCores, MemoryBytes: node.MemoryBytes, Descriptors: node.Descriptors,
		LinkBytesPerSecond: node.LinkBytesPerSecond,
		Retry:              retry.Settings{Ratio: node.RetryRatio, Slack: node.RetrySlack, Window: node.RetryWindow},
		Quota:              quota.Options{StartFull: node.Bootstrap, Slack: node.QuotaSlack, ExcessFraction: node.QuotaExcessFraction, Window: node.QuotaWindow},
		ConfigKey:          platform.ConfigPrefix, UpstreamPrefix: platform.UpstreamPrefix, OrderPrefix: platform.RolloutPrefix,
		EvacuationPrefix: platform.EvacuationPrefix, Regions: node.Regions,
		WarmUp: warmup.Limit{Factor: node.WarmUpFactor, Slack: node.WarmUpSlack},
	}
}

package main

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/config/settings"
	"github.com/persimmonridge/persimmonridge/internal/platform/vmlist"
	"github.com/persimmonridge/persimmonridge/internal/standin/engine"
	"github.com/persimmonridge/persimmonridge/internal/standin/kv"
	"github.com/persimmonridge/persimmonridge/internal/standin/relay"
	"github.com/persimmonridge/persimmonridge/internal/standin/service"
	"github.com/persimmonridge/persimmonridge/internal/standin/vms"
)

type standInCommand struct {
	Store   standInStore   `cmd:"" help:"The platform's key-value service."`
	VMList  standInVMList  `cmd:"" name:"vm-list" help:"The platform's list of VMs, which lags behind."`
	Engine  standInEngine  `cmd:"" help:"A streaming model engine."`
	Service standInService `cmd:"" help:"A plain booking service."`
	Relay   standInRelay   `cmd:"" help:"A TCP relay whose open connections can be silenced permanently."`
}

// standInSettings holds the settings of all stand-ins; each one uses its own fields.
type standInSettings struct {
	Address      string      `json:"address"`
	Seed         uint64      `json:"seed"`
	LagMS        int         `json:"lag-ms"`
	VMs          []vmlist.VM `json:"vms"`
	TokenGapMS   float64     `json:"token-gap-ms"`
	Knee         int         `json:"knee"`
	PrefillRate  int         `json:"prefill-rate"`
	CacheTokens  int         `json:"cache-tokens"`
	RestartMS    int         `json:"restart-ms"`
	DelayMS      int         `json:"delay-ms"`
	Target       string      `json:"target"`
	Control      string      `json:"control-address"`
	Faults       kv.Faults   `json:"store-faults"`
	EngineFaults struct {
		CrashOn         string  `json:"crash-on"`
		FailShare       float64 `json:"fail-share"`
		FailWhenRunning int     `json:"fail-when-running"`
		FailBody        string  `json:"fail-body"`
		Slow            float64 `json:"slow"`
		Silent          bool    `json:"silent"`
	} `json:"engine-faults"`
}

func readStandIn(path string) (standInSettings, net.Listener, error) {
	s := standInSettings{TokenGapMS: 20, Knee: 8, PrefillRate: 4000, CacheTokens: 20000, RestartMS: 1000, DelayMS: 20}
	raw, err := settings.ReadFile(path)
	if err != nil {
		return s, nil, err
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, nil, settings.Invalid.Wrap(err, "write the stand-in's settings as JSON; see docs/OPERATING.md")
	}
	if s.Knee < 1 || s.PrefillRate < 1 || s.TokenGapMS <= 0 {
		return s, nil, settings.Invalid.New("knee, prefill-rate and token-gap-ms must be greater than 0; correct them or leave them out")
	}
	listener, err := net.Listen("tcp", s.Address)
	return s, listener, err
}

type standInStore struct {
	Settings string `required:"" type:"existingfile" help:"Settings file."`
}

// Run implements kong's command.
func (c *standInStore) Run(ctx context.Context) error {
	s, listener, err := readStandIn(c.Settings)
	if err != nil {
		return err
	}
	server := kv.New(s.Seed, time.Now)
	server.SetFaults(s.Faults)
	return serveUntilDone(ctx, listener, server.Handler())
}

type standInVMList struct {
	Settings string `required:"" type:"existingfile" help:"Settings file."`
}

// Run implements kong's command.
func (c *standInVMList) Run(ctx context.Context) error {
	s, listener, err := readStandIn(c.Settings)
	if err != nil {
		return err
	}
	list := vms.New(time.Duration(s.LagMS)*time.Millisecond, time.Now)
	if err := list.Set(s.VMs); err != nil {
		return err
	}
	return serveUntilDone(ctx, listener, list)
}

type standInEngine struct {
	Settings string `required:"" type:"existingfile" help:"Settings file."`
}

// Run implements kong's command.
func (c *standInEngine) Run(ctx context.Context) error {
	s, listener, err := readStandIn(c.Settings)
	if err != nil {
		return err
	}
	server := engine.New(listener, engine.Settings{
		TokenGap: time.Duration(s.TokenGapMS * float64(time.Millisecond)), Knee: s.Knee, PrefillRate: s.PrefillRate,
		CacheTokens: s.CacheTokens, LoadLag: time.Second, RestartAfter: time.Duration(s.RestartMS) * time.Millisecond, Seed: s.Seed,
	}, nil)
	server.SetFaults(engine.Faults(s.EngineFaults))
	<-ctx.Done()
	return server.Close()
}

type standInService struct {
	Settings string `required:"" type:"existingfile" help:"Settings file."`
}

// Run implements kong's command.
func (c *standInService) Run(ctx context.Context) error {
	s, listener, err := readStandIn(c.Settings)
	if err != nil {
		return err
	}
	server := service.New(listener, service.Settings{Delay: time.Duration(s.DelayMS) * time.Millisecond}, service.NewEffectCounter())
	<-ctx.Done()
	return server.Close()
}

type standInRelay struct {
	Settings string `required:"" type:"existingfile" help:"Settings file, with address, target and control-address."`
}

// Run implements kong's command. PUT /silence at the control address silences
// all open connections; connections made later work normally.
func (c *standInRelay) Run(ctx context.Context) error {
	s, listener, err := readStandIn(c.Settings)
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", s.Control)
	if err != nil {
		return err
	}
	server := relay.New(listener, s.Target)
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /silence", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]int{"silenced": server.Silence()})
	})
	err = serveUntilDone(ctx, control, mux)
	return errors.Join(err, server.Close())
}

func serveUntilDone(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: slog.NewLogLogger(slog.NewTextHandler(os.Stderr, nil), slog.LevelDebug)}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

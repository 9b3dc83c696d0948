package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/persimmonridge/persimmonridge/examples"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/internal/role/entry"
	"github.com/persimmonridge/persimmonridge/internal/standin/engine"
	"github.com/persimmonridge/persimmonridge/internal/trial/fleet"
	"github.com/persimmonridge/persimmonridge/internal/trial/load"
	"github.com/persimmonridge/persimmonridge/internal/trial/report"
)

const (
	// crashMark makes any engine die whose body holds it.
	crashMark = "[crash]"
	// service and the versions are those of the Cairo example.
	service    = "tutor"
	oldVersion = "easel-1"
	newVersion = "easel-2"
	moveName   = "to-easel-2"
	// crasherDeadline bounds one sending of a crasher.
	crasherDeadline = 30 * time.Second
)

// Network is what a scenario needs of the network in memory.
type Network interface {
	fleet.Network
	Silence(to string) int
	Vanish(to string)
	Freeze(to string, d time.Duration)
	Stall(to string, d time.Duration)
}

// Result is what a scenario left behind.
type Result struct {
	Report    *report.Report
	Samples   []load.Sample
	Breaches  []invariant.Breach
	Crashes   int
	Convicted int
	Crashers  []string
	Verdict   string
	Why       string
	NewRuns   int
	AllRuns   int
	Injected  map[Action]int
	Twice     []string
	// Untrue are requests refused as not run that ran.
	Untrue []string
	// BadTail are requests of the quiet tail without an answer in time.
	BadTail []load.Sample
}

// player plays one script.
type player struct {
	script  Script
	network Network
	site    *fleet.Fleet
	rules   []byte

	mu       sync.Mutex
	injected map[Action]int
	crashers []string
	work     sync.WaitGroup
}

// Play runs a script on the network and returns what was seen.
func Play(script Script, network Network, logger *slog.Logger, invariants *invariant.Recorder) (*Result, error) {
	shape, err := fleet.ShapeOf(examples.CairoInventory, examples.CairoRules, script.Seed)
	if err != nil {
		return nil, err
	}
	shape = script.shrink(shape, network)
	plan, tiers, err := fleet.PlanOf(shape, time.Duration(script.Duration))
	if err != nil {
		return nil, err
	}
	plan.Rate, plan.Burst, plan.PrefixBytes = script.Rate, script.Burst, 400
	for i := range plan.Actions {
		plan.Actions[i].MinTokens = (plan.Actions[i].MinTokens + shorter - 1) / shorter
		plan.Actions[i].MaxTokens /= shorter
	}
	site, err := fleet.New(shape, logger, invariants)
	if err != nil {
		return nil, err
	}
	p := &player{script: script, network: network, site: site, rules: shape.Rules, injected: make(map[Action]int)}
	if err := p.addNewVersion(shape); err != nil {
		return nil, err
	}
	p.setCrashMarks()
	callers := load.New(plan, network, site.URLs)
	p.work.Go(func() { p.playEvents() })
	callers.Run(context.Background())
	p.work.Wait()
	time.Sleep(time.Duration(script.Settle))
	result := p.collect(callers, tiers, invariants)
	return result, site.Close()
}

// addNewVersion starts engines of the version that a move goes to.
func (p *player) addNewVersion(shape fleet.Shape) error {
	for i := range p.script.NewEngines {
		fresh := shape.Engines[i%len(shape.Engines)]
		fresh.Name = fmt.Sprintf("tutor-new-%02d", i)
		fresh.Version = newVersion
		if err := p.site.AddEngine(fresh); err != nil {
			return err
		}
	}
	if p.script.NewEngines == 0 {
		return nil
	}
	if err := p.site.Publish(); err != nil {
		return err
	}
	return p.site.AwaitReady()
}

func (p *player) setCrashMarks() {
	for _, name := range p.site.Upstreams() {
		if e := p.site.Engine(name); e != nil {
			e.SetFaults(engine.Faults{CrashOn: crashMark})
		}
	}
}

func (p *player) playEvents() {
	started := time.Now()
	for _, event := range p.script.Events {
		time.Sleep(time.Duration(event.At) - time.Since(started))
		p.mu.Lock()
		p.injected[event.Do]++
		p.mu.Unlock()
		p.play(event)
	}
}

func (p *player) play(event Event) {
	switch event.Do {
	case KillAgent:
		_ = p.site.KillAgent(event.Target)
	case RestartAgent:
		p.work.Go(func() { _ = p.site.RestartAgent(event.Target) })
	case KillEntry:
		p.withEntry(event.Entry, func(e *entry.Entry) { _ = p.site.KillEntry(e) })
	case StopEntry:
		p.withEntry(event.Entry, func(e *entry.Entry) { p.work.Go(func() { _ = p.site.StopEntry(e) }) })
	case AddEntry:
		if _, err := p.site.AddEntry(); err == nil {
			_ = p.site.Publish()
		}
	case Silence:
		p.network.Silence(p.site.Agent(event.Target).Addr())
	case SilencePeers:
		p.withEntry(event.Entry, func(e *entry.Entry) { p.network.Silence(e.PeerAddr()) })
	case LoseVM:
		p.network.Vanish(p.site.Agent(event.Target).Addr())
	case Freeze:
		p.network.Freeze(p.site.Agent(event.Target).Addr(), time.Duration(event.Within))
	case Stall:
		p.network.Stall(p.site.Agent(event.Target).Addr(), time.Duration(event.Within))
	case FreezePeers:
		p.withEntry(event.Entry, func(e *entry.Entry) { p.network.Freeze(e.PeerAddr(), time.Duration(event.Within)) })
	case CrashEngine:
		p.site.Engine(event.Target).Die()
	case EngineFaults:
		p.setEngineFaults(event)
	case StoreFaults:
		p.site.Store().SetFaults(event.Store)
	case SendCrasher:
		p.work.Go(func() { p.sendCrashers(event) })
	case BeginMove:
		p.beginMove(event)
	case RollAll:
		p.work.Go(p.rollAll)
	}
}

func (p *player) withEntry(index int, do func(*entry.Entry)) {
	entries := p.site.Entries()
	if len(entries) > 0 {
		do(entries[index%len(entries)])
	}
}

// setEngineFaults sets the faults of one engine, or of all whose name begins
// with the target.
func (p *player) setEngineFaults(event Event) {
	faults := event.Engine
	faults.CrashOn = crashMark
	for _, name := range p.site.Upstreams() {
		if e := p.site.Engine(name); e != nil && strings.HasPrefix(name, event.Target) {
			e.SetFaults(faults)
		}
	}
}

// rollAll restarts every process in turn, as planned.
func (p *player) rollAll() {
	for _, name := range p.site.Upstreams() {
		_ = p.site.RestartAgent(name)
	}
	for _, e := range p.site.Entries() {
		if _, err := p.site.AddEntry(); err != nil {
			continue
		}
		_ = p.site.Publish()
		_ = p.site.AwaitReady()
		_ = p.site.StopEntry(e)
	}
}

// sendCrashers sends one request that kills what runs it, again and again, to
// one entry after the other.
func (p *player) sendCrashers(event Event) {
	client := &http.Client{Transport: &http.Transport{DialContext: p.network.DialContext, DisableKeepAlives: true}}
	body := []byte(`{"model":"tutor/quick-answer","stream":true,"messages":[{"role":"user","content":"[length=30] ` + crashMark + `"}]}`)
	for i := range max(event.Times, 1) {
		urls := p.site.URLs()
		ctx, cancel := context.WithTimeout(context.Background(), crasherDeadline)
		kind := sendOnce(ctx, client, urls[(event.Entry+i)%len(urls)], body)
		cancel()
		p.mu.Lock()
		p.crashers = append(p.crashers, kind)
		p.mu.Unlock()
	}
}

func sendOnce(ctx context.Context, client *http.Client, url string, body []byte) string {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err.Error()
	}
	request.Header.Set("X-Workspace", "front-desk")
	response, err := client.Do(request)
	if err != nil {
		return "broken"
	}
	defer func() { _ = response.Body.Close() }()
	var refusal struct {
		Error struct {
			Type string `json:"type"`
		} `json:"error"`
	}
	if response.StatusCode == http.StatusOK {
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return "broken"
		}
		return "answered"
	}
	if json.NewDecoder(response.Body).Decode(&refusal) != nil {
		return "unreadable"
	}
	return refusal.Error.Type
}

// beginMove adds a move to the rules.
func (p *player) beginMove(event Event) {
	now := time.Now().UTC()
	doc := make(map[string]any)
	if err := json.Unmarshal(p.rules, &doc); err != nil {
		return
	}
	doc["moves"] = map[string]any{moveName: map[string]any{
		"service": service, "from": oldVersion, "to": newVersion,
		"start": now.Format(time.RFC3339Nano), "by": now.Add(time.Duration(event.Within)).Format(time.RFC3339Nano),
	}}
	changed, err := json.Marshal(doc)
	if err != nil {
		return
	}
	_, _ = p.site.Apply(context.Background(), "operator", "move to the new version", examples.CairoInventory, changed)
}

func (p *player) collect(callers *load.Callers, tiers []string, invariants *invariant.Recorder) *Result {
	samples := callers.Samples()
	r := &Result{
		Report: report.New(p.script.Seed, time.Duration(p.script.Duration), tiers, samples), Samples: samples,
		Breaches: invariants.First(), Crashers: p.crashers, Injected: p.injected,
	}
	r.Report.DoubledActions = p.site.Effects().Doubled()
	r.Report.InvariantBreaches = invariants.Total()
	for _, s := range samples {
		if s.Kind == "crashes-upstreams" {
			r.Convicted++
		}
	}
	ran := p.site.Effects().Calls()
	for _, name := range p.site.Upstreams() {
		p.collectEngine(name, r, ran)
	}
	p.collectUntrue(r, ran)
	if entries := p.site.Entries(); len(entries) > 0 {
		for _, move := range entries[0].Status().Moves {
			r.Verdict, r.Why = move.Verdict, move.Why
		}
	}
	return r
}

// collectUntrue compares what callers were told with what the upstreams saw.
func (p *player) collectUntrue(r *Result, ran map[string]int) {
	tail := time.Duration(p.script.Expect.TailFrom)
	for _, s := range r.Samples {
		if s.Ending == load.NotRun && ran[s.RequestID] > 0 {
			r.Untrue = append(r.Untrue, s.RequestID)
		}
		if tail > 0 && s.At >= tail && s.Ending != load.InTime {
			r.BadTail = append(r.BadTail, s)
		}
	}
}

func (p *player) collectEngine(name string, r *Result, ran map[string]int) {
	e := p.site.Engine(name)
	if e == nil {
		return
	}
	r.Crashes += e.Crashes()
	runs := e.Runs()
	r.AllRuns += len(runs)
	if strings.HasPrefix(name, "tutor-new") {
		r.NewRuns += len(runs)
	}
	for id, times := range runs {
		ran[id] += times
		if times > 1 {
			r.Twice = append(r.Twice, id)
		}
	}
}

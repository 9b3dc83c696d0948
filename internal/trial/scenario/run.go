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
	"github.com/persimmonridge/persimmonridge/internal/proof/repeats"
	"github.com/persimmonridge/persimmonridge/internal/role/entry"
	"github.com/persimmonridge/persimmonridge/internal/standin/engine"
	"github.com/persimmonridge/persimmonridge/internal/trial/fleet"
	"github.com/persimmonridge/persimmonridge/internal/trial/load"
	"github.com/persimmonridge/persimmonridge/internal/trial/report"
)

const (
	// crashMarker in a request body makes the engine that runs it crash.
	crashMarker = "[crash]"
	// service and the versions are those of the Cairo example.
	service        = "tutor"
	currentVersion = "easel-1"
	newVersion     = "easel-2"
	moveName       = "to-easel-2"
	// crasherDeadline bounds one attempt of a crashing request.
	crasherDeadline = 30 * time.Second
)

// Network is a network with fault injection.
type Network interface {
	fleet.Network
	Silence(to string) int
	Vanish(to string)
	Freeze(to string, d time.Duration)
	Stall(to string, d time.Duration)
}

// Result is what was observed in a scenario.
type Result struct {
	Report         *report.Report
	Samples        []load.Sample
	Breaches       []invariant.Breach
	Crashes        int
	Convicted      int
	CrasherResults []string
	Verdict        string
	VerdictReason  string
	NewVersionRuns int
	TotalRuns      int
	// Repeats is the window in which engines got most runs beyond the first of each request,
	// against what the entries may send.
	Repeats  repeats.Span
	Injected map[Action]int
	RunTwice []string
	// FalselyNotRun are the requests that were refused as not run although they ran.
	FalselyNotRun []string
	// TailFailures are the requests sent from Expect.TailFrom on that were not
	// answered in time.
	TailFailures []load.Sample
}

// runner runs one script.
type runner struct {
	script  Script
	network Network
	site    *fleet.Fleet
	rules   []byte

	mu             sync.Mutex
	injected       map[Action]int
	crasherResults []string
	// mostEntries is the largest number of entries at a time.
	mostEntries int
	tasks       sync.WaitGroup
}

// Run runs a script on the network and returns what was observed.
func Run(script Script, network Network, logger *slog.Logger, invariants *invariant.Recorder) (*Result, error) {
	spec, err := fleet.NewSpec(examples.CairoInventory, examples.CairoRules, script.Seed)
	if err != nil {
		return nil, err
	}
	spec = script.scaleDown(spec, network)
	plan, tiers, err := fleet.NewLoadPlan(spec, time.Duration(script.Duration))
	if err != nil {
		return nil, err
	}
	plan.Rate, plan.Burst, plan.PrefixBytes = script.Rate, script.Burst, 400
	for i := range plan.Actions {
		plan.Actions[i].MinTokens = (plan.Actions[i].MinTokens + scaleFactor - 1) / scaleFactor
		plan.Actions[i].MaxTokens /= scaleFactor
	}
	site, err := fleet.New(spec, logger, invariants)
	if err != nil {
		return nil, err
	}
	r := &runner{script: script, network: network, site: site, rules: spec.Rules, injected: make(map[Action]int), mostEntries: spec.Entries}
	if err := r.addNewVersion(spec); err != nil {
		return nil, err
	}
	r.setCrashMarkers()
	callers := load.New(plan, network, site.URLs)
	r.tasks.Go(func() { r.injectEvents() })
	callers.Run(context.Background())
	r.tasks.Wait()
	time.Sleep(time.Duration(script.Settle))
	result := r.collect(callers, tiers, invariants)
	return result, site.Close()
}

// addNewVersion starts engines of the target version of a move.
func (r *runner) addNewVersion(spec fleet.Spec) error {
	for i := range r.script.NewEngines {
		engineSpec := spec.Engines[i%len(spec.Engines)]
		engineSpec.Name = fmt.Sprintf("tutor-new-%02d", i)
		engineSpec.Version = newVersion
		if err := r.site.AddEngine(engineSpec); err != nil {
			return err
		}
	}
	if r.script.NewEngines == 0 {
		return nil
	}
	if err := r.site.Publish(); err != nil {
		return err
	}
	return r.site.AwaitReady()
}

func (r *runner) setCrashMarkers() {
	for _, name := range r.site.Upstreams() {
		if e := r.site.Engine(name); e != nil {
			e.SetFaults(engine.Faults{CrashOn: crashMarker})
		}
	}
}

func (r *runner) injectEvents() {
	startedAt := time.Now()
	for _, event := range r.script.Events {
		time.Sleep(time.Duration(event.At) - time.Since(startedAt))
		r.mu.Lock()
		r.injected[event.Action]++
		r.mu.Unlock()
		r.inject(event)
		r.mostEntries = max(r.mostEntries, len(r.site.Entries()))
	}
}

func (r *runner) inject(event Event) {
	switch event.Action {
	case KillAgent:
		_ = r.site.KillAgent(event.Target)
	case RestartAgent:
		r.tasks.Go(func() { _ = r.site.RestartAgent(event.Target) })
	case KillEntry:
		r.withEntry(event.Entry, func(e *entry.Entry) { _ = r.site.KillEntry(e) })
	case StopEntry:
		r.withEntry(event.Entry, func(e *entry.Entry) { r.tasks.Go(func() { _ = r.site.StopEntry(e) }) })
	case AddEntry:
		if _, err := r.site.AddEntry(); err == nil {
			_ = r.site.Publish()
		}
	case Silence:
		r.network.Silence(r.site.Agent(event.Target).Addr())
	case SilencePeers:
		r.withEntry(event.Entry, func(e *entry.Entry) { r.network.Silence(e.PeerAddr()) })
	case LoseVM:
		r.network.Vanish(r.site.Agent(event.Target).Addr())
	case Freeze:
		r.network.Freeze(r.site.Agent(event.Target).Addr(), time.Duration(event.Within))
	case Stall:
		r.network.Stall(r.site.Agent(event.Target).Addr(), time.Duration(event.Within))
	case FreezePeers:
		r.withEntry(event.Entry, func(e *entry.Entry) { r.network.Freeze(e.PeerAddr(), time.Duration(event.Within)) })
	case CrashEngine:
		r.site.Engine(event.Target).Crash()
	case EngineFaults:
		r.setEngineFaults(event)
	case StoreFaults:
		r.site.Store().SetFaults(event.Store)
	case SendCrasher:
		r.tasks.Go(func() { r.sendCrashers(event) })
	case BeginMove:
		r.beginMove(event)
	case RollAll:
		r.tasks.Go(r.restartAll)
	}
}

func (r *runner) withEntry(index int, action func(*entry.Entry)) {
	entries := r.site.Entries()
	if len(entries) > 0 {
		action(entries[index%len(entries)])
	}
}

// setEngineFaults sets the faults of all engines whose name starts with the target.
func (r *runner) setEngineFaults(event Event) {
	faults := event.Engine
	faults.CrashOn = crashMarker
	for _, name := range r.site.Upstreams() {
		if e := r.site.Engine(name); e != nil && strings.HasPrefix(name, event.Target) {
			e.SetFaults(faults)
		}
	}
}

// restartAll drains and replaces every process, one after the other.
func (r *runner) restartAll() {
	for _, name := range r.site.Upstreams() {
		_ = r.site.RestartAgent(name)
	}
	for _, e := range r.site.Entries() {
		if _, err := r.site.AddEntry(); err != nil {
			continue
		}
		_ = r.site.Publish()
		_ = r.site.AwaitReady()
		_ = r.site.StopEntry(e)
	}
}

// sendCrashers sends a request that crashes the engine that runs it, several times,
// to one entry after the other.
func (r *runner) sendCrashers(event Event) {
	client := &http.Client{Transport: &http.Transport{DialContext: r.network.DialContext, DisableKeepAlives: true}}
	body := []byte(`{"model":"tutor/quick-answer","stream":true,"messages":[{"role":"user","content":"[length=30] ` + crashMarker + `"}]}`)
	for i := range max(event.Times, 1) {
		urls := r.site.URLs()
		ctx, cancel := context.WithTimeout(context.Background(), crasherDeadline)
		result := sendOnce(ctx, client, urls[(event.Entry+i)%len(urls)], body)
		cancel()
		r.mu.Lock()
		r.crasherResults = append(r.crasherResults, result)
		r.mu.Unlock()
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

// beginMove adds a move to the new version to the rules.
func (r *runner) beginMove(event Event) {
	now := time.Now().UTC()
	doc := make(map[string]any)
	if err := json.Unmarshal(r.rules, &doc); err != nil {
		return
	}
	doc["moves"] = map[string]any{moveName: map[string]any{
		"service": service, "from": currentVersion, "to": newVersion,
		"start": now.Format(time.RFC3339Nano), "by": now.Add(time.Duration(event.Within)).Format(time.RFC3339Nano),
	}}
	changed, err := json.Marshal(doc)
	if err != nil {
		return
	}
	_, _ = r.site.Apply(context.Background(), "operator", "move to the new version", examples.CairoInventory, changed)
}

func (r *runner) collect(callers *load.Callers, tiers []string, invariants *invariant.Recorder) *Result {
	samples := callers.Samples()
	result := &Result{
		Report: report.New(r.script.Seed, time.Duration(r.script.Duration), tiers, samples), Samples: samples,
		Breaches: invariants.First(), CrasherResults: r.crasherResults, Injected: r.injected,
	}
	result.Report.DoubledActions = r.site.Effects().Doubled()
	result.Report.InvariantBreaches = invariants.Total()
	for _, s := range samples {
		if s.ErrorType == "crashes-upstreams" {
			result.Convicted++
		}
	}
	runCounts := r.site.Effects().Calls()
	for _, name := range r.site.Upstreams() {
		r.collectEngine(name, result, runCounts)
	}
	r.collectFailures(result, runCounts)
	result.Repeats = r.collectRepeats(callers.StartedAt(), samples)
	if entries := r.site.Entries(); len(entries) > 0 {
		for _, move := range entries[0].Status().Moves {
			result.Verdict, result.VerdictReason = move.Verdict, move.Why
		}
	}
	return result
}

// collectFailures finds the requests whose refusal contradicts what the upstreams
// ran, and those that failed after Expect.TailFrom.
func (r *runner) collectFailures(result *Result, runCounts map[string]int) {
	tailFrom := time.Duration(r.script.Expect.TailFrom)
	for _, s := range result.Samples {
		if s.Outcome == load.NotRun && runCounts[s.RequestID] > 0 {
			result.FalselyNotRun = append(result.FalselyNotRun, s.RequestID)
		}
		if tailFrom > 0 && s.SentAfter >= tailFrom && s.Outcome != load.InTime {
			result.TailFailures = append(result.TailFailures, s)
		}
	}
}

func (r *runner) collectEngine(name string, result *Result, runCounts map[string]int) {
	e := r.site.Engine(name)
	if e == nil {
		return
	}
	result.Crashes += e.Crashes()
	runs := e.Runs()
	result.TotalRuns += len(runs)
	if strings.HasPrefix(name, "tutor-new") {
		result.NewVersionRuns += len(runs)
	}
	for id, count := range runs {
		runCounts[id] += count
		if count > 1 {
			result.RunTwice = append(result.RunTwice, id)
		}
	}
}

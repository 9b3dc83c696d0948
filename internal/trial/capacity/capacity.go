package capacity

import (
	"bytes"
	_ "embed"
	"fmt"
	"math"
	"text/template"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

// Design is the size to design for, of letter 1.
type Design struct {
	Nodes, Workers, Accelerators  float64
	Requests, Tokens              float64
	Workspaces, Models            float64
	Changes, Replaced             float64
	CoreShare, Megabytes, KBps    float64
	StoreReads, StoreWrites       float64
	KeyedShare, Partitions        float64
	ActionsPerWorkspace, Deadline float64
}

// size is the size of letter 1; the keyed share and the actions of a workspace
// are assumed from the mix of today's sites.
func size() Design {
	return Design{
		Nodes: 330, Workers: 600, Accelerators: 4800, Requests: 2800, Tokens: 1.1e6, Workspaces: 930, Models: 9,
		Changes: 2500, Replaced: 170, CoreShare: 4.3, Megabytes: 256, KBps: 3, StoreReads: 2000, StoreWrites: 300,
		KeyedShare: 0.05, Partitions: 16, ActionsPerWorkspace: 4, Deadline: 8,
	}
}

// Measured is all that was measured.
type Measured struct {
	When string `json:"when"`
	// Process is the resident set of an idle process of the binary, in MB.
	Process float64 `json:"process-mb"`
	Choose  Slope   `json:"choose"`
	Table   Slope   `json:"table"`
	Lengths Slope   `json:"lengths"`
	Config  Slope   `json:"config"`
	Link    Slope   `json:"link-memory"`
	Idle    Slope   `json:"link-idle"`
	Change  Slope   `json:"change-bytes"`
	Reads   Slope   `json:"change-reads"`
	Apply   Slope   `json:"change-cpu"`
	Notice  Slope   `json:"notice-cpu"`
	Told    Slope   `json:"duty-bytes"`
	Step    Slope   `json:"duty-cpu"`
	Claims  Slope   `json:"claim-writes"`
	Request Slope   `json:"request-cpu"`
	Token   Slope   `json:"token-cpu"`
	Latency Latency `json:"latency"`
}

// Progress is told what is measured next.
type Progress func(part string)

// Measure takes all slopes; idle is how long idle links are watched.
func Measure(now time.Time, idle time.Duration, progress Progress) (Measured, error) {
	m := Measured{When: now.UTC().Format(time.DateOnly)}
	m.Process = resident()
	progress("memory and choice")
	m.Choose, m.Table, m.Lengths, m.Config = chooseTime(), tableMemory(), forecastMemory(), documentSize()
	var err error
	m.Told = evidenceSize()
	if m.Step, err = dutyTime(now); err != nil {
		return m, err
	}
	parts := []struct {
		name string
		run  func() error
	}{
		{"configuration changes", func() error { m.Change, m.Reads, err = changeCost(); return err }},
		{"changes and notices", func() error {
			if m.Apply, err = applyTime(); err != nil {
				return err
			}
			m.Notice, err = noticeTime()
			return err
		}},
		{"claims", func() error { m.Claims, err = claimWrites(4); return err }},
		{"requests", func() error { m.Request, err = requestCost(); return err }},
		{"tokens", func() error { m.Token, err = tokenCost(); return err }},
		{"latency", func() error { m.Latency, err = MeasureLatency(2000); return err }},
		{"links", func() error { m.Link, m.Idle, err = linkCost(idle); return err }},
	}
	for _, part := range parts {
		progress(part.name)
		if err := part.run(); err != nil {
			return m, err
		}
	}
	return m, nil
}

// Line is one budget with what the design needs of it.
type Line struct {
	Role      string
	What      string
	Needs     string
	Budget    string
	Margin    string
	Mechanism string
}

const (
	secondsADay = 24 * 3600
	percent     = 100
	// offersAnswer is the offers made for one answer in trials below capacity.
	offersAnswer = 1.2
	// changeBytes is a change as it is handed on over a link, once to each
	// agent, by whichever entry hears first that the agent lacks it.
	changeBytes = 600
	// waitingShare is the share of requests that wait a second for a slot.
	waitingShare = 0.3
	// linksAnEntry is the agents that an entry links to: all, since callers of
	// all workspaces reach every entry.
	agentsAnEntry = 600
)

// Lines works the budgets out.
func (m Measured) Lines() []Line {
	d := size()
	perEntry := d.Requests / d.Nodes
	perAgent := d.Requests / d.Workers
	control := m.entryControl(d)
	lines := []Line{
		budget("entry", "control bytes a second", control/kilobyte, d.KBps, "KB/s", "links open on first use; load rides on answers; long-polls; conditional list (fleet/link, fleet/control, platform/vmlist)"),
		budget("entry", "memory", m.Process+(m.Table.At(d.Workers)+m.Link.Per/2*agentsAnEntry+m.Lengths.At(d.Workspaces*d.ActionsPerWorkspace))/kilobyte, d.Megabytes, "MB", "bounded tables and histograms (fleet/member, dispatch/forecast)"),
		budget("entry", "processor for control", m.entryCPU(d), d.CoreShare, "% of a core", "rendezvous hashing, reports that ride on answers, one check of the document a change (dispatch/candidate, fleet/control, config/changelog)"),
		budget("agent", "processor for control", m.agentCPU(d), d.CoreShare, "% of a core", "reports that ride on answers, one check of the document a change (fleet/control, config/changelog)"),
		budget("entry", "processor for requests, all of it", perEntry*m.Request.Per, percent, "% of a core", "net/http both sides (role/entry); not control"),
		budget("entry", "processor for tokens, all of it", d.Tokens/d.Nodes*m.Token.Per, percent, "% of a core", "pieces joined while the caller is slow (upstream/answer); not control"),
		budget("agent", "control bytes a second", m.agentControl(d)/kilobyte, d.KBps, "KB/s", "notices on change only (fleet/control)"),
		budget("agent", "memory for links", m.Process+m.Link.Per/2*d.Nodes/kilobyte, d.Megabytes, "MB", "one session for each entry that chose it (fleet/link)"),
		budget("agent", "processor for requests, all of it", perAgent*m.Request.Per, percent, "% of a core", "one queue for each upstream (upstream/admission); not control"),
		budget("duty of moves", "bytes a second of evidence", m.dutyBytes(d)/kilobyte, d.KBps, "KB/s", "the holder sets the pace; agents tell it alone (role/entry/moves.go, fleet/control)"),
		budget("duty of moves", "processor", m.Step.At(d.upstreamsOfAModel())/millisPerSecond*percent, d.CoreShare, "% of a core", "one step a second (version/move, version/evidence)"),
		budget("store", "writes a second for claims", m.claimWrites(d), d.StoreWrites, "/s", "partitions with group commit (action/claim)"),
		budget("store", "writes a second for changes", d.Changes*3/secondsADay, d.StoreWrites, "/s", "record, head and now and then a snapshot (config/changelog)"),
		budget("store", "reads a second, nothing happening", (d.Nodes+0)/50, d.StoreReads, "/s", "blocking reads of 50 s by entries; agents learn from entries"),
		budget("store", "reads a second, all entries after a change", m.Reads.Per*d.Nodes, d.StoreReads, "/s", "the head carries the last records; 1 s of jitter before the next read"),
		budget("store", "reads a second, all entries restarted within 5 s", 3*d.Nodes/5, d.StoreReads, "/s", "head, snapshot and owner's keys; 20 calls a second and node at most (platform/store)"),
	}
	return lines
}

// frameBytes is yamux's header and the length before a message.
const frameBytes = 14

// loadBytes is a load report as it is sent, of a busy upstream.
func loadBytes() float64 {
	const held, ms = 12, 1500
	load := &wire.Load{
		Incarnation: 1 << 60, Running: 12, Limit: 16, WaitMs: []uint32{0, ms, ms}, Waiting: []uint32{1, 2, 3},
		TokenGapUs: 40000, Version: "easel-1", ClockMs: 1 << 33, Prefixes: make([]uint32, held),
	}
	return float64(frameBytes + proto.Size(load))
}

// heartbeatBytes is a heartbeat as it is sent.
func heartbeatBytes() float64 {
	beat := &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{}}}
	return float64(frameBytes + proto.Size(beat))
}

// entryControl is an entry's control traffic in bytes a second.
func (m Measured) entryControl(d Design) float64 {
	perEntry := d.Requests / d.Nodes
	reports := perEntry * offersAnswer * loadBytes()
	beats := perEntry * waitingShare * 2 * heartbeatBytes()
	changes := d.Changes / secondsADay * (m.Change.Per + changeBytes*d.Workers/d.Nodes)
	list := 2 * d.Replaced / secondsADay * (d.Nodes + d.Workers) * 170
	polls := 300.0 / 2.5
	return reports + beats + changes + list + polls + m.Idle.Per*agentsAnEntry
}

// entryCPU is the share of a core, in percent, that an entry spends on choosing,
// on reports and heartbeats, and on changes.
func (m Measured) entryCPU(d Design) float64 {
	perEntry := d.Requests / d.Nodes
	choosing := perEntry * offersAnswer * m.Choose.At(d.Workers) / 1e6
	messages := perEntry * (offersAnswer + waitingShare*2) * m.Notice.Per / millisPerSecond
	return (choosing + messages + m.changeCPU(d)) * percent
}

// agentCPU is an agent's; it chooses nothing.
func (m Measured) agentCPU(d Design) float64 {
	messages := d.Requests / d.Workers * (offersAnswer + waitingShare*2) * m.Notice.Per / millisPerSecond
	return (messages + m.changeCPU(d)) * percent
}

// changeCPU is the share of a core for changes of configuration.
func (m Measured) changeCPU(d Design) float64 {
	return d.Changes / secondsADay * m.Apply.At(d.Workspaces) / millisPerSecond
}

// upstreamsOfAModel is the workers that one model's move concerns.
func (d Design) upstreamsOfAModel() float64 { return d.Workers / d.Models }

// dutyBytes is what the holder hears: all its agents, at the pace that it sets,
// a minute at most.
func (m Measured) dutyBytes(d Design) float64 {
	const budgeted, slowest = 1500, 60
	all := d.upstreamsOfAModel() * m.Told.At(dutyRoutes)
	return math.Max(math.Min(all, budgeted), all/slowest)
}

// agentControl is an agent's.
func (m Measured) agentControl(d Design) float64 {
	perAgent := d.Requests / d.Workers
	reports := perAgent * offersAnswer * loadBytes()
	beats := perAgent * waitingShare * 2 * heartbeatBytes()
	changes := d.Changes / secondsADay * changeBytes
	return reports + beats + changes + m.Idle.Per*d.Nodes
}

// claimWrites is bounded by partitions times commit rate.
func (m Measured) claimWrites(d Design) float64 {
	const commitsASecond = 10
	keyed := d.Requests * d.KeyedShare
	return math.Min(2*keyed, d.Partitions*commitsASecond) + m.Claims.Per*keyed
}

func budget(role, what string, needs, limit float64, unit, mechanism string) Line {
	margin := fmt.Sprintf("%.1f times", limit/math.Max(needs, 1e-9))
	if needs > limit {
		margin = fmt.Sprintf("BROKEN, %.1f times over", needs/limit)
	}
	return Line{Role: role, What: what, Needs: fmt.Sprintf("%.3g %s", needs, unit), Budget: fmt.Sprintf("%.3g %s", limit, unit), Margin: margin, Mechanism: mechanism}
}

// Slopes returns all slopes in the page's order.
func (m Measured) Slopes() []Slope {
	return []Slope{m.Choose, m.Table, m.Lengths, m.Config, m.Link, m.Idle, m.Change, m.Reads, m.Apply, m.Notice, m.Told, m.Step, m.Claims, m.Request, m.Token}
}

//go:embed page.md.tmpl
var pageTemplate string

// Page writes docs/CAPACITY.md.
func (m Measured) Page() ([]byte, error) {
	parsed, err := template.New("page").Funcs(template.FuncMap{
		"percent": func(x float64) string { return fmt.Sprintf("%.0f%%", x*percent) },
		"short":   func(x float64) string { return fmt.Sprintf("%.4g", x) },
	}).Parse(pageTemplate)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	err = parsed.Execute(&out, m)
	return out.Bytes(), err
}

package capacity

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/persimmonridge/persimmonridge/examples"
	"github.com/persimmonridge/persimmonridge/internal/config/document"
	"github.com/persimmonridge/persimmonridge/internal/config/rules"
	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
	"github.com/persimmonridge/persimmonridge/internal/version/evidence"
	"github.com/persimmonridge/persimmonridge/internal/version/move"
)

const (
	// dutyRoutes is the active routes of an upstream while its service moves.
	dutyRoutes = 20
	// runsARoute is the runs behind each route's evidence.
	runsARoute = 200
	oldVersion = "easel-1"
	newVersion = "easel-2"
)

// evidenceSize measures what an agent tells of so many routes.
func evidenceSize() Slope {
	var points []Point
	for _, routes := range []int{5, 20, 80} {
		board := evidenceOf(newVersion, routes)
		n := &wire.Notice{EvidenceEveryMs: 1000}
		for _, route := range board.Routes(newVersion) {
			t := board.Get(newVersion, route)
			n.Evidence = append(n.Evidence, &wire.RouteEvidence{
				Service: "tutor", Version: newVersion, Route: route, Runs: t.Runs(), Failures: t.Failures(), LatencyBuckets: t.Buckets(),
			})
		}
		points = append(points, Point{float64(routes), float64(frameBytes + proto.Size(n))})
	}
	return Fit("duty: an agent's evidence", "routes", "bytes a notice", points)
}

func evidenceOf(version string, routes int) *evidence.Board {
	board := evidence.NewBoard()
	for r := range routes {
		route := fmt.Sprintf("workspace-%04d/tutor/critique", r)
		for i := range runsARoute {
			board.Observe(version, route, i == 0, time.Duration(100+i)*time.Millisecond)
		}
	}
	return board
}

// dutyTime measures one step of a move, all that its holder does for it.
func dutyTime(now time.Time) (Slope, error) {
	wish, err := exampleMove(now)
	if err != nil {
		return Slope{}, err
	}
	var points []Point
	for _, upstreams := range []int{10, 40, 160} {
		var boards []*evidence.Board
		for i := range upstreams {
			boards = append(boards, evidenceOf([]string{oldVersion, newVersion}[i%2], dutyRoutes))
		}
		const steps = 20
		watch, base := evidence.NewWatch(), evidence.NewBoard()
		state := document.NewMoveState(0, 0.02, document.Moving, now, "")
		started := cpu()
		for range steps {
			all := evidence.NewBoard()
			for _, b := range boards {
				all.Merge(b)
			}
			move.Step(now, wish, state, true, move.Observed{All: all, Stage: all.Since(base), Fault: watch.Update(all, oldVersion, newVersion), Ready: true})
		}
		points = append(points, Point{float64(upstreams), (cpu() - started).Seconds() / steps * millisPerSecond})
	}
	return Fit("duty: a step of a move, 20 routes", "upstreams of the service", "ms of processor", points), nil
}

// exampleMove is a move of the Cairo example, under way at now.
func exampleMove(now time.Time) (rules.Move, error) {
	at := func(t time.Time) string { return t.UTC().Format(time.RFC3339) }
	patch := fmt.Sprintf(`{"moves":{"m":{"service":"tutor","from":%q,"to":%q,"start":%q,"by":%q}}}`, oldVersion, newVersion, at(now), at(now.Add(time.Hour)))
	raw, err := document.Patch(examples.CairoRules, []byte(patch))
	if err != nil {
		return rules.Move{}, err
	}
	doc, findings := document.Build(examples.CairoInventory, raw)
	if len(findings) > 0 {
		return rules.Move{}, fmt.Errorf("the example move: %s", findings[0])
	}
	return doc.Rules().Moves()[0], nil
}

package fleet_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/proof/bubble"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/examples"
	"github.com/persimmonridge/persimmonridge/internal/proof/invariant"
	"github.com/persimmonridge/persimmonridge/internal/standin/network"
	"github.com/persimmonridge/persimmonridge/internal/trial/fleet"
	"github.com/persimmonridge/persimmonridge/internal/trial/load"
)

func TestSiteServesItsLoadInTime(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		spec, err := fleet.NewSpec(examples.CairoInventory, examples.CairoRules, 1)
		require.NoError(t, err)
		net := network.New()
		spec.Network = net
		plan, _, err := fleet.NewLoadPlan(spec, 5*time.Second)
		require.NoError(t, err)
		logger := slog.New(slog.NewTextHandler(io.Discard, nil))
		invariants := invariant.New(logger)
		site, err := fleet.New(spec, logger, invariants)
		require.NoError(t, err)
		callers := load.New(plan, net, site.URLs)
		callers.Run(context.Background())
		require.NoError(t, site.Close())
		for _, s := range callers.Samples() {
			require.Equal(t, load.InTime, s.Outcome, "%+v", s)
		}
		require.NotEmpty(t, callers.Samples())
		require.Zero(t, invariants.Total())
		require.Zero(t, site.Effects().Doubled())
	})
}

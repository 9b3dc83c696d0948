package lending_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonridge/persimmonridge/internal/limit/lending"
	"github.com/persimmonridge/persimmonridge/internal/limit/share"
)

var (
	start  = time.Unix(1_000_000, 0)
	cold   = lending.Limit{Upstream: "u", WarmUp: true}
	stated = lending.Limit{Upstream: "u"}
)

// Guards against a gateway that is asked to lend what it wants itself, so that all pass the
// same parts around in an overload.
func TestGatewaysThatWantTheSameAreNotAsked(t *testing.T) {
	b := lending.NewBroker()
	b.Divide(start, "b", lending.Requests{cold: 1}, nil)
	wanted := lending.Requests{cold: 4, stated: 4}
	divided := b.Divide(start, "a", wanted, []string{"b", "c"})
	require.Equal(t, lending.Requests{stated: 2}, divided["b"])
	require.Equal(t, lending.Requests{cold: 4, stated: 2}, divided["c"])
	divided = b.Divide(start.Add(share.LoanLife), "a", wanted, []string{"b", "c"})
	require.Equal(t, wanted, lending.Requests{cold: 2 * divided["b"][cold], stated: 2 * divided["b"][stated]}, "it wants nothing any more")
}

// Guards against a large fleet in which each gateway asks all others, and against one that
// asks the same few again and again.
func TestFewGatewaysAreAskedEachTime(t *testing.T) {
	b := lending.NewBroker()
	var others []string
	for i := range 300 {
		others = append(others, string(rune('a'+i)))
	}
	asked := make(map[string]bool)
	for i := range 20 {
		divided := b.Divide(start.Add(time.Duration(i)*time.Second), "borrower", lending.Requests{cold: 100, stated: 1}, others)
		require.LessOrEqual(t, len(divided), 32)
		few := 0
		for lender, part := range divided {
			asked[lender] = true
			few += part[stated]
		}
		require.Equal(t, 2, few)
	}
	require.Greater(t, len(asked), 200)
	require.Empty(t, b.Divide(start, "borrower", lending.Requests{cold: 1}, nil))
}

// Guards against a scheduler that grants a borrower only its own part, or a lender what it has
// lent.
func TestBrokerKnowsWhatItPassesOn(t *testing.T) {
	b := lending.NewBroker()
	b.Lent(start, "a", 1, "b", lending.Requests{cold: 2})
	require.Equal(t, 5, b.Allowance(start, "a", cold, 3))
	require.Equal(t, 1, b.Allowance(start, "b", cold, 3))
	require.Equal(t, 3, b.Allowance(start, "b", stated, 3))
	later := start.Add(share.LoanLife)
	b.Expire(later)
	require.Equal(t, 3, b.Allowance(later, "a", cold, 3))
	require.Equal(t, 3, b.Allowance(later, "b", cold, 3))
}

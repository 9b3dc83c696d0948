package lending_test

import (
	"fmt"
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
	for _, count := range []int{1, 2, 8, 16, 20, 32, 33, 64, 300} {
		b := lending.NewBroker()
		var others []string
		for i := range count {
			others = append(others, fmt.Sprint("gateway-", i))
		}
		asked := make(map[string]bool)
		for i := range count {
			divided := b.Divide(start.Add(time.Duration(i)*time.Second), "borrower", lending.Requests{stated: 1}, others)
			require.Len(t, divided, min(count, 2))
			for lender := range divided {
				asked[lender] = true
			}
		}
		require.Len(t, asked, count, "each is asked in its turn")
		require.Len(t, b.Divide(start, "borrower", lending.Requests{cold: 100, stated: 1}, others), min(count, 32))
	}
	require.Empty(t, lending.NewBroker().Divide(start, "borrower", lending.Requests{cold: 1}, nil))
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

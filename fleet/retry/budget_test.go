package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/retry"
)

// TestRetriesStayBelowRatio lets every request fail and retry as often as the
// budget allows.
func TestRetriesStayBelowRatio(t *testing.T) {
	var budget retry.Budget
	const requests = 10_000
	retries := 0
	for range requests {
		budget.RecordFirstAttempt()
		for budget.TryRetry() {
			retries++
		}
	}
	require.LessOrEqual(t, retries, int(requests*retry.RetryRatio)+retry.Reserve)
	require.Greater(t, retries, requests/20, "retries within the budget must be allowed")
}

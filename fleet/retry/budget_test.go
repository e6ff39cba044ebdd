package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/retry"
)

// TestRetriesStayBelowTheirShare lets every request fail and ask for as many
// retries as it can get.
func TestRetriesStayBelowTheirShare(t *testing.T) {
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
	require.Greater(t, retries, requests/20, "and are not refused without need")
}

package task_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/task"
)

func ExampleGroup() {
	ctx, cancel := context.WithCancel(context.Background())
	var group task.Group
	group.Go(ctx, func(ctx context.Context) { <-ctx.Done() })
	cancel()
	group.Wait()
	fmt.Println("all have ended")
	// Output: all have ended
}

func TestWaitReturnsAfterAllGoroutinesHaveEnded(t *testing.T) {
	var group task.Group
	var ended atomic.Int32
	const tasks = 1000
	for range tasks {
		group.Go(context.Background(), func(context.Context) { ended.Add(1) })
	}
	group.Wait()
	require.Equal(t, int32(tasks), ended.Load())
	group.Wait()
}

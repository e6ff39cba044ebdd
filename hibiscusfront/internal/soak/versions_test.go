package soak_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStreamsStayAtTheirVersion takes streams up again, which were broken off by the end of the
// planner's host, and then of all hosts at once, while engines of two versions serve. None may
// go on at another version than the one that began it.
func TestStreamsStayAtTheirVersion(t *testing.T) {
	const (
		perRound = 40 // streams
		workTime = 150 * time.Millisecond
	)
	s := newSite(t, build(t), 0)
	for i, target := range s.targets[:engineCount] {
		target.SetSoftware(fmt.Sprint("v", i%2))
	}
	s.awaitReady(t, 10*time.Second)
	time.Sleep(time.Second) // all hosts have the entries
	for _, target := range s.targets[:engineCount] {
		target.SetWorkTime(workTime)
	}
	client := &http.Client{Timeout: 5 * time.Second}
	ranAt := func(id string) (software string, ran bool) {
		for _, target := range s.targets[:engineCount] {
			if runs, _, _ := target.Runs(); runs[id] > 0 {
				return target.Software(), true
			}
		}
		return "", false
	}
	joined, wentOn, takenUp := 0, 0, 0
	for round, killed := range [][]*host{s.hosts[:2], s.hosts} {
		var streams sync.WaitGroup
		lastEvents := make([]int, perRound)
		for i := range perRound {
			streams.Go(func() {
				lastEvents[i] = readStream(client, s.hosts[i%len(killed)].callers, fmt.Sprint("begun-", round, "-", i), nil)
			})
		}
		time.Sleep(5 * workTime)
		for _, h := range killed {
			h.kill(syscall.SIGKILL)
		}
		streams.Wait()
		s.awaitReady(t, 10*time.Second)
		for i := range perRound {
			if lastEvents[i] == 0 {
				continue
			}
			begun, again := fmt.Sprint("begun-", round, "-", i), fmt.Sprint("again-", round, "-", i)
			streams.Go(func() {
				readStream(client, s.hosts[(i+1)%len(s.hosts)].callers, again, map[string]string{"Last-Event-Id": fmt.Sprint(lastEvents[i]), "Resumes": begun})
			})
		}
		streams.Wait()
		for i := range perRound {
			if lastEvents[i] == 0 {
				continue
			}
			takenUp++
			began, _ := ranAt(fmt.Sprint("begun-", round, "-", i))
			if software, ran := ranAt(fmt.Sprint("again-", round, "-", i)); ran {
				wentOn++
				if software != began {
					joined++
				}
			}
		}
		t.Logf("round %d: %d streams taken up so far, %d went on, %d at another version", round, takenUp, wentOn, joined)
	}
	require.Zero(t, joined)
	require.Greater(t, takenUp, perRound)
	require.Greater(t, wentOn, takenUp/2)
}

// readStream sends a request for a stream that may be resumed and returns the number of the last
// complete event of the answer, zero if there was none.
func readStream(client *http.Client, address, id string, headers map[string]string) int {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/resume/x", strings.NewReader("body"))
	if err != nil {
		return 0
	}
	request.Host = "h.example"
	for name, value := range map[string]string{
		"X-Hibiscuslb-Request-Id": id, "X-Hibiscuslb-Deadline-Ms": "3000", "Authorization": "Token key-w", "X-Hibiscuslb-Model": model,
		"X-Hibiscuslb-Token-Usage": "30,10", "X-Hibiscuslb-Prefix-Hash": "aa:10," + id + ":20",
	} {
		request.Header.Set(name, value)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body) // what came before the stream broke off counts
	if response.StatusCode != http.StatusOK {
		return 0
	}
	return strings.Count(string(body), "\n\n")
}

package soak_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// keptConnection is a connection that a caller keeps for many requests.
type keptConnection struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *keptConnection {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return &keptConnection{conn, bufio.NewReader(conn)}
}

// head returns the head of a request for a booking, with a body of four bytes to follow.
func head(id string, deadline time.Duration) string {
	return fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: h.example\r\nX-Hibiscuslb-Request-Id: %s\r\nX-Hibiscuslb-Deadline-Ms: %d\r\n"+
		"Authorization: Token key-w\r\nContent-Length: 4\r\n\r\n", id, deadline.Milliseconds())
}

func (c *keptConnection) write(text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// answer is what a caller got for a request. The error tells that the connection ended without
// a complete answer.
type answer struct {
	status int
	closed bool // the answer says that the connection is closed after it
	header http.Header
	err    error
}

func (c *keptConnection) read(timeout time.Duration) answer {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Close, response.Header, err}
}

// TestStopAnswersRequestsThatAreBeingRead sends the first half of a request on a connection that
// was idle, and the second half some time after. In a planned stop such connections were closed,
// at the signal and when the host began to refuse requests, and the requests were run all the
// same.
func TestStopAnswersRequestsThatAreBeingRead(t *testing.T) {
	s := newSite(t, build(t), 0)
	s.awaitReady(t, 10*time.Second)
	h := s.hosts[0]
	moments := []time.Duration{-30 * time.Millisecond, 300 * time.Millisecond, 2000 * time.Millisecond, 2300 * time.Millisecond, 2600 * time.Millisecond, 3200 * time.Millisecond}
	const (
		halfTime = 200 * time.Millisecond // from the first half to the second
		// addressGone is when no caller has the address any more. The connection of a request
		// that comes later may be closed, but the request must not run then.
		addressGone = 2900 * time.Millisecond
	)
	connections := make([]*keptConnection, len(moments))
	for i := range moments {
		connections[i] = dial(t, h.callers)
		require.NoError(t, connections[i].write(head(fmt.Sprint("before-", i), time.Second)+"body"))
		require.Equal(t, http.StatusOK, connections[i].read(time.Second).status)
	}
	answers := make([]answer, len(moments))
	done := make(chan struct{})
	signalAt := time.Now().Add(100 * time.Millisecond)
	for i, moment := range moments {
		go func() {
			defer func() { done <- struct{}{} }()
			c, text := connections[i], head(fmt.Sprint("request-", i), time.Second)
			time.Sleep(time.Until(signalAt.Add(moment)))
			if err := c.write(text[:len(text)/3]); err != nil {
				answers[i] = answer{err: err}
				return
			}
			time.Sleep(halfTime)
			if err := c.write(text[len(text)/3:] + "body"); err != nil {
				answers[i] = answer{err: err}
				return
			}
			answers[i] = c.read(2 * time.Second)
		}()
	}
	time.Sleep(time.Until(signalAt))
	h.kill(syscall.SIGTERM)
	for _, again := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		time.Sleep(400 * time.Millisecond)
		h.kill(again) // changes nothing
	}
	for range moments {
		<-done
	}
	for i, moment := range moments {
		if moment+halfTime > addressGone && answers[i].err != nil {
			for _, target := range s.targets {
				runs, _, _ := target.Runs()
				require.Zero(t, runs[fmt.Sprint("request-", i)], "the request that began %v after the signal ran and got no answer", moment)
			}
			continue
		}
		require.NoError(t, answers[i].err, "the request that began %v after the signal got no answer", moment)
		require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, answers[i].status)
		require.True(t, answers[i].closed, "the answer to the request that began %v after the signal keeps the connection", moment)
	}
	t.Log(answers)
}

// TestStopAnswersRequestsThatDoNotEnd sends requests that outlast the grace period to a host in a
// planned stop. Those that it had passed on were cut at the end of the grace period with no
// answer, and those that came late were passed on though they could not end.
func TestStopAnswersRequestsThatDoNotEnd(t *testing.T) {
	const (
		grace    = 8 * time.Second // graceS of the settings
		deadline = 9 * time.Second
	)
	s := newSite(t, build(t), 0)
	s.putSlowOrders(deadline)
	s.awaitReady(t, 10*time.Second)
	time.Sleep(time.Second) // all hosts have the configuration
	h := s.hosts[0]
	moments := []time.Duration{-200 * time.Millisecond, time.Second, 2800 * time.Millisecond, 3200 * time.Millisecond}
	connections := make([]*keptConnection, len(moments))
	for i := range moments {
		connections[i] = dial(t, h.callers)
		require.NoError(t, connections[i].write(head(fmt.Sprint("before-", i), time.Second)+"body"))
		require.Equal(t, http.StatusOK, connections[i].read(time.Second).status)
	}
	for _, target := range s.targets {
		target.SetWorkTime(deadline)
	}
	answers, took := make([]answer, len(moments)), make([]time.Duration, len(moments))
	done := make(chan struct{})
	signalAt := time.Now().Add(300 * time.Millisecond)
	for i, moment := range moments {
		go func() {
			defer func() { done <- struct{}{} }()
			time.Sleep(time.Until(signalAt.Add(moment)))
			if err := connections[i].write(head(fmt.Sprint("slow-", i), deadline) + "body"); err != nil {
				answers[i] = answer{err: err}
				return
			}
			sent := time.Now()
			answers[i] = connections[i].read(grace)
			took[i] = time.Since(sent)
		}()
	}
	time.Sleep(time.Until(signalAt))
	h.kill(syscall.SIGTERM)
	for range moments {
		<-done
	}
	for i, moment := range moments {
		ran := 0
		for _, target := range s.targets {
			runs, _, _ := target.Runs()
			ran += runs[fmt.Sprint("slow-", i)]
		}
		t.Logf("sent %v after the signal: %+v after %v, passed on to %d targets", moment, answers[i], took[i], ran)
		require.NoError(t, answers[i].err, "the request that was sent %v after the signal got no answer", moment)
		if moment > 2500*time.Millisecond {
			require.Equal(t, http.StatusServiceUnavailable, answers[i].status)
			require.NotEmpty(t, answers[i].header.Get("Retry-After"))
			require.Less(t, took[i], 200*time.Millisecond)
			require.Zero(t, ran)
			continue
		}
		require.GreaterOrEqual(t, answers[i].status, http.StatusInternalServerError)
		if answers[i].status == http.StatusServiceUnavailable {
			require.Zero(t, ran, "the status says that the request has not run")
		}
	}
}

// putSlowOrders writes a configuration in which an order may take as long as the timeout.
func (s *site) putSlowOrders(timeout time.Duration) {
	s.store.Put("config", "main", map[string]any{
		"version": s.configVersion + 3,
		"routes": []map[string]any{
			{"name": "order", "host": "h.example", "pathPrefix": "/order/", "kind": "non_idempotent", "service": "plain", "attempts": 1, "timeoutMs": timeout.Milliseconds()},
		},
		"services": []map[string]any{{"name": "plain", "maxConns": 100}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "w", "apiKeys": []string{"key-w"}}},
	})
}

// TestStopsOfAllHostsAnswerRequests stops all hosts within two seconds, the planner and its
// successors among them, beside a change of the configuration, and one again soon after its start.
// Callers go on to send on connections that they keep. What a target has run must be answered.
func TestStopsOfAllHostsAnswerRequests(t *testing.T) {
	const (
		perHost = 6 // connections
		pause   = 40 * time.Millisecond
		stagger = 500 * time.Millisecond
	)
	s := newSite(t, build(t), 0)
	s.awaitReady(t, 10*time.Second)
	stop := make(chan struct{})
	type lost struct {
		id  string
		err error
	}
	var (
		callers sync.WaitGroup
		mu      sync.Mutex
		losses  []lost
		asked   int
	)
	for _, h := range s.hosts {
		for i := range perHost {
			callers.Go(func() {
				var c *keptConnection
				for n := 0; ; n++ {
					select {
					case <-stop:
						if c != nil {
							c.Close()
						}
						return
					case <-time.After(pause + time.Duration(i)*time.Millisecond):
					}
					if c == nil {
						conn, err := net.Dial("tcp", h.callers)
						if err != nil {
							continue // the host has ended
						}
						c = &keptConnection{conn, bufio.NewReader(conn)}
					}
					id := fmt.Sprint(h.name, "-", i, "-", n)
					err := c.write(head(id, time.Second) + "body")
					var got answer
					if err == nil {
						got = c.read(3 * time.Second)
						err = got.err
					}
					mu.Lock()
					asked++
					if err != nil {
						losses = append(losses, lost{id, err})
					}
					mu.Unlock()
					if err != nil || got.closed {
						c.Close()
						c = nil
					}
				}
			})
		}
	}
	time.Sleep(time.Second)
	for i, h := range s.hosts {
		h.kill(syscall.SIGTERM)
		if i == 1 {
			s.putConfiguration()
		}
		time.Sleep(stagger)
	}
	time.Sleep(4 * time.Second) // the first ones have started again
	s.hosts[0].kill(syscall.SIGTERM)
	time.Sleep(5 * time.Second)
	close(stop)
	callers.Wait()
	ran := 0
	for _, l := range losses {
		for _, target := range s.targets {
			if runs, _, _ := target.Runs(); runs[l.id] > 0 {
				ran++
				t.Errorf("request %s ran and got no answer: %v", l.id, l.err)
			}
		}
	}
	t.Logf("%d requests, %d without an answer, %d of which ran", asked, len(losses), ran)
	require.Greater(t, asked, 1000)
}

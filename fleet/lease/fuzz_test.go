package lease_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/fuzzing"
	"hibiscuslb/fleet/lease"
)

// The tests in this file check one invariant after every step of a random run: once the
// platform has stored the state Ended for an incarnation, no process of that incarnation
// may act. The runs include paused processes, one-way network partitions, outages of the
// platform, lost answers, delayed writes, restarts and clocks of different rates.

const hosts = 4

// process is one incarnation of a host.
type process struct {
	id      lease.MemberID
	holder  lease.Holder
	witness lease.Witness
	rate    float64       // of its clock, relative to cluster.now
	offset  time.Duration // of its clock from cluster.now
	paused  bool
	ending  *lease.Takeover
	pending func() // delivers the answer of a write in progress
}

// now returns the process's clock at the given true time.
func (p *process) now(trueTime time.Duration) fleet.Instant {
	return fleet.Instant(p.offset + time.Duration(float64(trueTime)*p.rate))
}

// object is a stored member object.
type object struct {
	member  lease.Member
	version fleet.Version
}

// cluster is the actual state of the system, of which each process knows only a part.
type cluster struct {
	now         time.Duration // true time, from which the clocks deviate
	objects     [hosts]object // the stored member objects
	current     [hosts]*process
	earlier     []*process         // earlier incarnations, which are paused but may not have ended
	cut         [hosts][hosts]bool // messages from the first to the second host are lost
	outage      bool
	noPlatform  [hosts]bool // only this host can not reach the platform
	loseAnswers bool
	delayWrites bool     // writes of a process's own object get no answer and take effect later
	delayed     []func() // writes that have not taken effect yet
	revision    fleet.Version
	messages    []func() // deliver the messages in transit
}

var timing = lease.Timing{Length: 5 * time.Second, Margin: 0, Drift: 0.01}

var (
	errOutage   = errors.New("outage")
	errConflict = errors.New("conflict")
)

// write writes a host's member object on behalf of the writer, subject to the current
// faults.
func (c *cluster) write(writer, host int, expected fleet.Version, member lease.Member) (fleet.Version, error) {
	if c.outage || c.noPlatform[writer] {
		return 0, errOutage
	}
	version, err := c.store(host, expected, member)
	if c.loseAnswers {
		return 0, errOutage
	}
	return version, err
}

// store applies a write that has reached the platform, if its version matches.
func (c *cluster) store(host int, expected fleet.Version, member lease.Member) (fleet.Version, error) {
	if c.objects[host].version != expected {
		return 0, errConflict
	}
	c.revision++
	c.objects[host] = object{member, c.revision}
	return c.revision, nil
}

func hostID(i int) fleet.HostID { return fleet.HostID(fmt.Sprintf("h%d", i)) }

func (c *cluster) index(id fleet.HostID) int {
	var i int
	_, _ = fmt.Sscanf(string(id), "h%d", &i)
	return i
}

// startProcess starts the next incarnation of a host.
func (c *cluster) startProcess(t *rapid.T, i int) {
	previous := c.objects[i]
	id := lease.MemberID{Host: hostID(i), Incarnation: previous.member.Incarnation + 1}
	p := &process{
		id:     id,
		rate:   1 + rapid.Float64Range(-0.0049, 0.0049).Draw(t, "rate"),
		offset: time.Hour + time.Duration(i)*time.Minute,
	}
	p.holder = lease.Holder{Timing: timing, Self: id}
	p.witness = lease.Witness{Timing: timing, Self: id, Started: p.now(c.now)}
	c.current[i] = p
	c.register(t, i, p)
}

// register writes the process's member object if the earlier incarnation is Ended.
func (c *cluster) register(t *rapid.T, i int, p *process) {
	current := c.objects[i]
	if current.version != 0 && current.member.State != lease.Ended {
		return
	}
	member := lease.Member{Host: p.id.Host, Incarnation: p.id.Incarnation, State: lease.Active, Panel: c.drawPanel(t, i)}
	c.writeOwn(i, p, current.version, member, true)
}

// drawPanel returns a random subset of the other active members.
func (c *cluster) drawPanel(t *rapid.T, i int) lease.Panel {
	var panel lease.Panel
	for j, o := range c.objects {
		if j != i && o.member.State == lease.Active && rapid.IntRange(0, 3).Draw(t, "witness") > 0 {
			panel = append(panel, lease.MemberID{Host: o.member.Host, Incarnation: o.member.Incarnation})
		}
	}
	return panel
}

// writeOwn writes the process's own member object. The answer arrives in a later step.
func (c *cluster) writeOwn(i int, p *process, expected fleet.Version, member lease.Member, register bool) {
	if p.pending != nil || (!register && p.holder.Ended()) {
		return
	}
	sent := p.now(c.now)
	p.holder.BeginWrite(member.Panel)
	if c.delayWrites {
		c.delayed = append(c.delayed, func() { _, _ = c.store(i, expected, member) })
		return
	}
	version, err := c.write(i, i, expected, member)
	p.pending = func() {
		if err == nil {
			p.holder.ConfirmWrite(sent, version, &member)
		}
		p.pending = nil
	}
}

// processes returns all processes that could still act, including paused ones.
func (c *cluster) processes() []*process {
	all := append([]*process(nil), c.earlier...)
	for _, p := range c.current {
		if p != nil {
			all = append(all, p)
		}
	}
	return all
}

// check fails the test if a process may act although its end is stored.
func (c *cluster) check(t *rapid.T) {
	for _, p := range c.processes() {
		o := c.objects[c.index(p.id.Host)]
		ended := o.member.Incarnation > p.id.Incarnation ||
			(o.member.Incarnation == p.id.Incarnation && o.member.State == lease.Ended)
		if ended && p.holder.MayAct(p.now(c.now)) {
			t.Fatalf("%v may act at %v, although the platform has stored its end", p.id, c.now)
		}
	}
}

func drawHost(t *rapid.T) int { return rapid.IntRange(0, hosts-1).Draw(t, "host") }

// sendHeartbeat sends a heartbeat to each witness of the panel, as a message.
func (c *cluster) sendHeartbeat(i int) {
	p := c.current[i]
	if p == nil || p.paused {
		return
	}
	heartbeat := p.holder.NextHeartbeat(p.now(c.now))
	for _, witness := range p.holder.Panel() {
		j := c.index(witness.Host)
		c.messages = append(c.messages, func() { c.deliverHeartbeat(i, j, p, heartbeat) })
	}
}

// deliverHeartbeat passes a heartbeat to a witness and sends the reply as a message.
func (c *cluster) deliverHeartbeat(i, j int, p *process, heartbeat lease.Heartbeat) {
	q := c.current[j]
	if q == nil || q.paused || c.cut[i][j] {
		return
	}
	grant := q.witness.Grant(q.now(c.now), heartbeat)
	c.messages = append(c.messages, func() {
		if !c.cut[j][i] && !p.paused {
			p.holder.RecordGrant(grant)
		}
	})
}

// beginEnding lets host i set host j to Ending.
func (c *cluster) beginEnding(i, j int) {
	p, o := c.current[i], c.objects[j]
	if p == nil || p.paused || o.version == 0 || o.member.State != lease.Active {
		return
	}
	member := o.member
	member.State = lease.Ending
	version, err := c.write(i, j, o.version, member)
	if err != nil {
		return
	}
	p.ending = &lease.Takeover{Timing: timing, Member: member, Version: version, StartTime: p.now(c.now)}
}

// continueEnding lets host i ask host j for its refusal, and sets the member to Ended once
// the takeover is ready.
func (c *cluster) continueEnding(i, j int) {
	p, q := c.current[i], c.current[j]
	if p == nil || p.paused || p.ending == nil {
		return
	}
	takeover := p.ending
	if q != nil && !q.paused && !c.cut[i][j] && !c.cut[j][i] &&
		q.witness.Refuse(q.now(c.now), &takeover.Member, takeover.Version) {
		takeover.RecordRefusal(q.id.Host)
	}
	if !takeover.Ready(p.now(c.now)) {
		return
	}
	member := takeover.Member
	member.State = lease.Ended
	_, _ = c.write(i, c.index(member.Host), takeover.Version, member)
	p.ending = nil
}

// refresh reads the process's own member object, which settles writes without a known
// outcome, and writes it as Active with a new renewal.
func (c *cluster) refresh(t *rapid.T, i int, newPanel bool) {
	p, o := c.current[i], c.objects[i]
	if p == nil || p.paused || c.outage || c.noPlatform[i] || p.pending != nil {
		return
	}
	if o.version != 0 && o.member.Incarnation < p.id.Incarnation {
		c.register(t, i, p)
		return
	}
	p.holder.Observe(o.version, &o.member)
	if p.holder.Ended() || o.version == 0 {
		return
	}
	member := o.member
	member.State = lease.Active
	member.Renewal++
	if newPanel {
		member.Panel = c.drawPanel(t, i)
	}
	c.writeOwn(i, p, o.version, member, false)
}

// tick advances time and performs the regular work of all processes: answers and messages
// arrive, leases are renewed and silent hosts are ended.
func (c *cluster) tick(t *rapid.T) {
	c.now += time.Duration(rapid.IntRange(200, 1500).Draw(t, "ms")) * time.Millisecond
	for i, p := range c.current {
		if p.paused {
			continue
		}
		if p.pending != nil && !c.noPlatform[i] {
			p.pending()
		}
		c.sendHeartbeat(i)
	}
	c.deliver()
	c.deliver()
	for i, p := range c.current {
		if p.paused || c.noPlatform[i] {
			continue
		}
		if o := c.objects[i]; p.holder.NeedsRenewal(p.now(c.now)) || o.member.State != lease.Active {
			c.refresh(t, i, false)
		}
		c.endSilentHosts(i)
	}
}

// deliver delivers all messages that have been sent.
func (c *cluster) deliver() {
	messages := c.messages
	c.messages = nil
	for _, message := range messages {
		message()
	}
}

// endSilentHosts begins or continues the ending of hosts that have sent host i no
// heartbeat for 3 s.
func (c *cluster) endSilentHosts(i int) {
	p := c.current[i]
	for j := range hosts {
		if j == i {
			continue
		}
		c.continueEnding(i, j)
		at, granted := p.witness.LastGrant(lease.MemberID{Host: hostID(j), Incarnation: c.objects[j].member.Incarnation})
		if !granted || p.now(c.now).Sub(at) > 3*time.Second {
			c.beginEnding(i, j)
		}
	}
}

// isolate disconnects a host from the platform and from a random subset of the others.
func (c *cluster) isolate(t *rapid.T, i int) {
	c.noPlatform[i] = true
	for j := range hosts {
		lost := rapid.Bool().Draw(t, "lost")
		c.cut[i][j], c.cut[j][i] = lost, lost
	}
}

// actions returns the possible steps of a run, by name.
func (c *cluster) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"": c.check,
		"crossed": func(t *rapid.T) {
			if len(c.messages) == 0 {
				return
			}
			n := rapid.IntRange(0, len(c.messages)-1).Draw(t, "message")
			message := c.messages[n]
			c.messages = append(c.messages[:n], c.messages[n+1:]...)
			message()
		},
		"beat":    func(t *rapid.T) { c.sendHeartbeat(drawHost(t)) },
		"panel":   func(t *rapid.T) { c.refresh(t, drawHost(t), true) },
		"suspect": func(t *rapid.T) { c.beginEnding(drawHost(t), drawHost(t)) },
		"cut":     func(t *rapid.T) { i, j := drawHost(t), drawHost(t); c.cut[i][j] = !c.cut[i][j] },
		"heal":    func(*rapid.T) { c.cut = [hosts][hosts]bool{}; c.noPlatform = [hosts]bool{} },
		"alone":   func(t *rapid.T) { i := drawHost(t); c.noPlatform[i] = !c.noPlatform[i] },
		"strand":  func(t *rapid.T) { c.isolate(t, drawHost(t)) },
		"outage":  func(*rapid.T) { c.outage = !c.outage },
		"hold":    func(*rapid.T) { c.delayWrites = !c.delayWrites },
		"land": func(t *rapid.T) {
			if len(c.delayed) > 0 {
				n := rapid.IntRange(0, len(c.delayed)-1).Draw(t, "write")
				write := c.delayed[n]
				c.delayed = append(c.delayed[:n], c.delayed[n+1:]...)
				write()
			}
		},
		"loss":  func(*rapid.T) { c.loseAnswers = !c.loseAnswers },
		"pause": func(t *rapid.T) { p := c.current[drawHost(t)]; p.paused = !p.paused },
		"replace": func(t *rapid.T) {
			i := drawHost(t)
			// The earlier incarnation may be paused and resume with its own view of
			// its lease, but other processes no longer reach it.
			c.current[i].paused = true
			c.earlier = append(c.earlier, c.current[i])
			c.startProcess(t, i)
		},
	}
	// Most steps are regular work, so that the consequences of a fault are reached.
	for n := range 10 {
		actions[fmt.Sprintf("ticks%d", n)] = func(t *rapid.T) {
			for range rapid.IntRange(1, 6).Draw(t, "ticks") {
				c.tick(t)
				c.check(t)
			}
		}
	}
	return actions
}

// TestNoHolderActsAfterItsEnd checks the invariant in random runs.
func TestNoHolderActsAfterItsEnd(t *testing.T) {
	fuzzing.Check(t, 6000, 60, func(t *rapid.T) {
		c := &cluster{}
		for i := range hosts {
			c.startProcess(t, i)
			c.current[i].pending()
		}
		for i := range hosts {
			c.refresh(t, i, true)
			c.current[i].pending()
		}
		t.Repeat(c.actions())
	})
}

package lease_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/proptest"
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
	rate    float64       // of its clock, relative to simulation.now
	offset  time.Duration // of its clock from simulation.now
	paused  bool
	ending  *lease.EndAttempt
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

// simulation is the actual state of the system, of which each process knows only a part.
type simulation struct {
	now         time.Duration // true time, from which the clocks deviate
	objects     [hosts]object // the stored member objects
	current     [hosts]*process
	earlier     []*process         // earlier incarnations, which are paused but may not have ended
	cut         [hosts][hosts]bool // messages from the first to the second host are lost
	outage      bool
	noPlatform  [hosts]bool // only this host cannot reach the platform
	loseAnswers bool        // writes take effect but get no answer
	delayWrites bool        // writes of a process's own object get no answer and take effect later
	delayed     []func()    // writes that have not taken effect yet
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
func (s *simulation) write(writer, host int, expected fleet.Version, member lease.Member) (fleet.Version, error) {
	if s.outage || s.noPlatform[writer] {
		return 0, errOutage
	}
	version, err := s.store(host, expected, member)
	if s.loseAnswers {
		return 0, errOutage
	}
	return version, err
}

// store applies a write that has reached the platform, if its version matches.
func (s *simulation) store(host int, expected fleet.Version, member lease.Member) (fleet.Version, error) {
	if s.objects[host].version != expected {
		return 0, errConflict
	}
	s.revision++
	s.objects[host] = object{member, s.revision}
	return s.revision, nil
}

func hostID(i int) fleet.HostID { return fleet.HostID(fmt.Sprintf("h%d", i)) }

func (s *simulation) index(id fleet.HostID) int {
	var i int
	_, _ = fmt.Sscanf(string(id), "h%d", &i)
	return i
}

// startProcess starts the next incarnation of a host.
func (s *simulation) startProcess(t *rapid.T, i int) {
	previous := s.objects[i]
	id := lease.MemberID{Host: hostID(i), Incarnation: previous.member.Incarnation + 1}
	p := &process{
		id:     id,
		rate:   1 + rapid.Float64Range(-0.0049, 0.0049).Draw(t, "rate"),
		offset: time.Hour + time.Duration(i)*time.Minute,
	}
	p.holder = lease.Holder{Timing: timing, Self: id}
	p.witness = lease.Witness{Timing: timing, Self: id, Started: p.now(s.now)}
	s.current[i] = p
	s.register(t, i, p)
}

// register writes the process's member object if the earlier incarnation is Ended.
func (s *simulation) register(t *rapid.T, i int, p *process) {
	current := s.objects[i]
	if current.version != 0 && current.member.State != lease.Ended {
		return
	}
	member := lease.Member{Host: p.id.Host, Incarnation: p.id.Incarnation, State: lease.Active, Panel: s.drawPanel(t, i)}
	s.writeOwn(i, p, current.version, member, true)
}

// drawPanel returns a random subset of the other active members.
func (s *simulation) drawPanel(t *rapid.T, i int) lease.Panel {
	var panel lease.Panel
	for j, o := range s.objects {
		if j != i && o.member.State == lease.Active && rapid.IntRange(0, 3).Draw(t, "witness") > 0 {
			panel = append(panel, lease.MemberID{Host: o.member.Host, Incarnation: o.member.Incarnation})
		}
	}
	return panel
}

// writeOwn writes the process's own member object. The answer arrives in a later step.
func (s *simulation) writeOwn(i int, p *process, expected fleet.Version, member lease.Member, register bool) {
	if p.pending != nil || (!register && p.holder.Ended()) {
		return
	}
	sent := p.now(s.now)
	p.holder.BeginWrite(member.Panel)
	if s.delayWrites {
		s.delayed = append(s.delayed, func() { _, _ = s.store(i, expected, member) })
		return
	}
	version, err := s.write(i, i, expected, member)
	p.pending = func() {
		if err == nil {
			p.holder.ConfirmWrite(sent, version, &member)
		}
		p.pending = nil
	}
}

// processes returns all processes that could still act, including paused ones.
func (s *simulation) processes() []*process {
	all := append([]*process(nil), s.earlier...)
	for _, p := range s.current {
		if p != nil {
			all = append(all, p)
		}
	}
	return all
}

// check fails the test if a process may act although its end is stored.
func (s *simulation) check(t *rapid.T) {
	for _, p := range s.processes() {
		o := s.objects[s.index(p.id.Host)]
		ended := o.member.Incarnation > p.id.Incarnation ||
			(o.member.Incarnation == p.id.Incarnation && o.member.State == lease.Ended)
		if ended && p.holder.MayAct(p.now(s.now)) {
			t.Fatalf("%v may act at %v, although the platform has stored its end", p.id, s.now)
		}
	}
}

func drawHost(t *rapid.T) int { return rapid.IntRange(0, hosts-1).Draw(t, "host") }

// sendHeartbeat sends a heartbeat to each witness of the panel, as a message.
func (s *simulation) sendHeartbeat(i int) {
	p := s.current[i]
	if p == nil || p.paused {
		return
	}
	heartbeat := p.holder.NextHeartbeat(p.now(s.now))
	for _, witness := range p.holder.Panel() {
		j := s.index(witness.Host)
		s.messages = append(s.messages, func() { s.deliverHeartbeat(i, j, p, heartbeat) })
	}
}

// deliverHeartbeat passes a heartbeat to a witness and sends the reply as a message.
func (s *simulation) deliverHeartbeat(i, j int, p *process, heartbeat lease.Heartbeat) {
	q := s.current[j]
	if q == nil || q.paused || s.cut[i][j] {
		return
	}
	grant := q.witness.Grant(q.now(s.now), heartbeat)
	s.messages = append(s.messages, func() {
		if !s.cut[j][i] && !p.paused {
			p.holder.RecordGrant(grant)
		}
	})
}

// beginEnding lets host i set host j to Ending.
func (s *simulation) beginEnding(i, j int) {
	p, o := s.current[i], s.objects[j]
	if p == nil || p.paused || o.version == 0 || o.member.State != lease.Active {
		return
	}
	member := o.member
	member.State = lease.Ending
	version, err := s.write(i, j, o.version, member)
	if err != nil {
		return
	}
	p.ending = &lease.EndAttempt{Timing: timing, Member: member, Version: version, StartTime: p.now(s.now)}
}

// continueEnding lets host i ask host j for its refusal, and sets the member to Ended once
// the attempt to end it is ready.
func (s *simulation) continueEnding(i, j int) {
	p, q := s.current[i], s.current[j]
	if p == nil || p.paused || p.ending == nil {
		return
	}
	attempt := p.ending
	if q != nil && !q.paused && !s.cut[i][j] && !s.cut[j][i] &&
		q.witness.Refuse(q.now(s.now), &attempt.Member, attempt.Version) {
		attempt.RecordRefusal(q.id.Host)
	}
	if !attempt.Ready(p.now(s.now)) {
		return
	}
	member := attempt.Member
	member.State = lease.Ended
	_, _ = s.write(i, s.index(member.Host), attempt.Version, member)
	p.ending = nil
}

// refresh reads the process's own member object, which settles writes without a known
// outcome, and writes it as Active with a new renewal.
func (s *simulation) refresh(t *rapid.T, i int, newPanel bool) {
	p, o := s.current[i], s.objects[i]
	if p == nil || p.paused || s.outage || s.noPlatform[i] || p.pending != nil {
		return
	}
	if o.version != 0 && o.member.Incarnation < p.id.Incarnation {
		s.register(t, i, p)
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
		member.Panel = s.drawPanel(t, i)
	}
	s.writeOwn(i, p, o.version, member, false)
}

// tick advances time and performs the regular work of all processes: answers and messages
// arrive, leases are renewed and silent hosts are ended.
func (s *simulation) tick(t *rapid.T) {
	s.now += time.Duration(rapid.IntRange(200, 1500).Draw(t, "ms")) * time.Millisecond
	for i, p := range s.current {
		if p.paused {
			continue
		}
		if p.pending != nil && !s.noPlatform[i] {
			p.pending()
		}
		s.sendHeartbeat(i)
	}
	s.deliver()
	s.deliver()
	for i, p := range s.current {
		if p.paused || s.noPlatform[i] {
			continue
		}
		if o := s.objects[i]; p.holder.NeedsRenewal(p.now(s.now)) || o.member.State != lease.Active {
			s.refresh(t, i, false)
		}
		s.endSilentHosts(i)
	}
}

// deliver delivers all messages that have been sent.
func (s *simulation) deliver() {
	messages := s.messages
	s.messages = nil
	for _, message := range messages {
		message()
	}
}

// endSilentHosts begins or continues the ending of hosts to which host i has given no
// grant for more than 3 s, or none at all.
func (s *simulation) endSilentHosts(i int) {
	p := s.current[i]
	for j := range hosts {
		if j == i {
			continue
		}
		s.continueEnding(i, j)
		at, granted := p.witness.LastGrant(lease.MemberID{Host: hostID(j), Incarnation: s.objects[j].member.Incarnation})
		if !granted || p.now(s.now).Sub(at) > 3*time.Second {
			s.beginEnding(i, j)
		}
	}
}

// isolate disconnects a host from the platform and from a random subset of the others.
func (s *simulation) isolate(t *rapid.T, i int) {
	s.noPlatform[i] = true
	for j := range hosts {
		lost := rapid.Bool().Draw(t, "lost")
		s.cut[i][j], s.cut[j][i] = lost, lost
	}
}

// actions returns the possible steps of a run, by name.
func (s *simulation) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"": s.check,
		"deliverOutOfOrder": func(t *rapid.T) {
			if len(s.messages) == 0 {
				return
			}
			n := rapid.IntRange(0, len(s.messages)-1).Draw(t, "message")
			message := s.messages[n]
			s.messages = append(s.messages[:n], s.messages[n+1:]...)
			message()
		},
		"broadcastHeartbeat": func(t *rapid.T) { s.sendHeartbeat(drawHost(t)) },
		"panelChange":        func(t *rapid.T) { s.refresh(t, drawHost(t), true) },
		"suspectHost":        func(t *rapid.T) { s.beginEnding(drawHost(t), drawHost(t)) },
		"disconnect":         func(t *rapid.T) { i, j := drawHost(t), drawHost(t); s.cut[i][j] = !s.cut[i][j] },
		"heal":               func(*rapid.T) { s.cut = [hosts][hosts]bool{}; s.noPlatform = [hosts]bool{} },
		"blockPlatform":      func(t *rapid.T) { i := drawHost(t); s.noPlatform[i] = !s.noPlatform[i] },
		"separateHost":       func(t *rapid.T) { s.isolate(t, drawHost(t)) },
		"outage":             func(*rapid.T) { s.outage = !s.outage },
		"holdWrites":         func(*rapid.T) { s.delayWrites = !s.delayWrites },
		"landWrite": func(t *rapid.T) {
			if len(s.delayed) > 0 {
				n := rapid.IntRange(0, len(s.delayed)-1).Draw(t, "write")
				write := s.delayed[n]
				s.delayed = append(s.delayed[:n], s.delayed[n+1:]...)
				write()
			}
		},
		"loseAnswers": func(*rapid.T) { s.loseAnswers = !s.loseAnswers },
		"pause":       func(t *rapid.T) { p := s.current[drawHost(t)]; p.paused = !p.paused },
		"replaceProcess": func(t *rapid.T) {
			i := drawHost(t)
			// The earlier incarnation may be paused and resume with its own view of
			// its lease, but other processes no longer reach it.
			s.current[i].paused = true
			s.earlier = append(s.earlier, s.current[i])
			s.startProcess(t, i)
		},
	}
	// Most steps are regular work, so that the consequences of a fault are reached.
	for n := range 10 {
		actions[fmt.Sprintf("ticks%d", n)] = func(t *rapid.T) {
			for range rapid.IntRange(1, 6).Draw(t, "ticks") {
				s.tick(t)
				s.check(t)
			}
		}
	}
	return actions
}

// TestNoHolderActsAfterItsEnd checks the invariant in random runs.
func TestNoHolderActsAfterItsEnd(t *testing.T) {
	proptest.Check(t, 6000, 60, func(t *rapid.T) {
		s := &simulation{}
		for i := range hosts {
			s.startProcess(t, i)
			s.current[i].pending()
		}
		for i := range hosts {
			s.refresh(t, i, true)
			s.current[i].pending()
		}
		t.Repeat(s.actions())
	})
}

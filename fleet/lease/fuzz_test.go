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

// The oracle is one sentence: once the platform holds Ended for an
// incarnation, no process of that incarnation may act. The machine brings
// about pauses, cuts of each direction, outages, lost answers, restarts and
// clocks of different rates, and asks after every step.

const hosts = 4

// process is one life of a host.
type process struct {
	seat    lease.MemberID
	holder  lease.Holder
	witness lease.Witness
	rate    float64 // of its clock, relative to true time
	offset  time.Duration
	paused  bool
	ending  *lease.Takeover
	pending func() // completes a write whose answer is under way
}

func (p *process) now(truth time.Duration) fleet.Instant {
	return fleet.Instant(p.offset + time.Duration(float64(truth)*p.rate))
}

type object struct {
	member  lease.Member
	version fleet.Version
}

// world is the true state that the processes only know in part.
type world struct {
	truth      time.Duration
	objects    [hosts]object
	live       [hosts]*process
	old        []*process // earlier lives; some are merely frozen
	cut        [hosts][hosts]bool
	outage     bool
	noPlatform [hosts]bool // the host alone does not reach the platform
	loss       bool
	hold       bool     // writes of the own object get no answer and land later
	held       []func() // such writes
	revision   fleet.Version
	mail       []func()
}

var terms = lease.Timing{Length: 5 * time.Second, Margin: 0, Drift: 0.01}

var (
	errOutage   = errors.New("outage")
	errConflict = errors.New("conflict")
)

func (w *world) write(writer, host int, seen fleet.Version, member lease.Member) (fleet.Version, error) {
	if w.outage || w.noPlatform[writer] {
		return 0, errOutage
	}
	version, err := w.store(host, seen, member)
	if w.loss {
		return 0, errOutage
	}
	return version, err
}

// store is what the platform does with a write that reaches it.
func (w *world) store(host int, seen fleet.Version, member lease.Member) (fleet.Version, error) {
	if w.objects[host].version != seen {
		return 0, errConflict
	}
	w.revision++
	w.objects[host] = object{member, w.revision}
	return w.revision, nil
}

func hostID(i int) fleet.HostID { return fleet.HostID(fmt.Sprintf("h%d", i)) }

func (w *world) index(id fleet.HostID) int {
	var i int
	_, _ = fmt.Sscanf(string(id), "h%d", &i)
	return i
}

// start brings up the first or a later life of a host.
func (w *world) start(t *rapid.T, i int) {
	previous := w.objects[i]
	seat := lease.MemberID{Host: hostID(i), Incarnation: previous.member.Incarnation + 1}
	p := &process{
		seat:   seat,
		rate:   1 + rapid.Float64Range(-0.0049, 0.0049).Draw(t, "rate"),
		offset: time.Hour + time.Duration(i)*time.Minute,
	}
	p.holder = lease.Holder{Timing: terms, Self: seat}
	p.witness = lease.Witness{Timing: terms, Self: seat, Started: p.now(w.truth)}
	w.live[i] = p
	w.register(t, i, p)
}

// register makes the process a member once its earlier life is Ended.
func (w *world) register(t *rapid.T, i int, p *process) {
	current := w.objects[i]
	if current.version != 0 && current.member.State != lease.Ended {
		return
	}
	member := lease.Member{Host: p.seat.Host, Incarnation: p.seat.Incarnation, State: lease.Active, Panel: w.panel(t, i)}
	w.save(i, p, current.version, member, true)
}

// panel lists some of the other hosts that are members now.
func (w *world) panel(t *rapid.T, i int) lease.Panel {
	var panel lease.Panel
	for j, o := range w.objects {
		if j != i && o.member.State == lease.Active && rapid.IntRange(0, 3).Draw(t, "seat") > 0 {
			panel = append(panel, lease.MemberID{Host: o.member.Host, Incarnation: o.member.Incarnation})
		}
	}
	return panel
}

// save writes the process's own object. Its answer arrives at a later step.
func (w *world) save(i int, p *process, seen fleet.Version, member lease.Member, register bool) {
	if p.pending != nil || (!register && p.holder.Ended()) {
		return
	}
	sent := p.now(w.truth)
	p.holder.BeginWrite(member.Panel)
	if w.hold {
		w.held = append(w.held, func() { _, _ = w.store(i, seen, member) })
		return
	}
	version, err := w.write(i, i, seen, member)
	p.pending = func() {
		if err == nil {
			p.holder.ConfirmWrite(sent, version, &member)
		}
		p.pending = nil
	}
}

// processes lists every life that could still act, frozen ones included.
func (w *world) processes() []*process {
	all := append([]*process(nil), w.old...)
	for _, p := range w.live {
		if p != nil {
			all = append(all, p)
		}
	}
	return all
}

func (w *world) check(t *rapid.T) {
	for _, p := range w.processes() {
		o := w.objects[w.index(p.seat.Host)]
		over := o.member.Incarnation > p.seat.Incarnation ||
			(o.member.Incarnation == p.seat.Incarnation && o.member.State == lease.Ended)
		if over && p.holder.MayAct(p.now(w.truth)) {
			t.Fatalf("%v may act at %v although its end is stored", p.seat, w.truth)
		}
	}
}

func drawHost(t *rapid.T) int { return rapid.IntRange(0, hosts-1).Draw(t, "host") }

// beat sends a heartbeat to the panel; beats and grants travel as mail.
func (w *world) beat(i int) {
	p := w.live[i]
	if p == nil || p.paused {
		return
	}
	beat := p.holder.NextHeartbeat(p.now(w.truth))
	for _, seat := range p.holder.Panel() {
		j := w.index(seat.Host)
		w.mail = append(w.mail, func() { w.deliverBeat(i, j, p, beat) })
	}
}

func (w *world) deliverBeat(i, j int, p *process, beat lease.Heartbeat) {
	q := w.live[j]
	if q == nil || q.paused || w.cut[i][j] {
		return
	}
	grant := q.witness.Grant(q.now(w.truth), beat)
	w.mail = append(w.mail, func() {
		if !w.cut[j][i] && !p.paused {
			p.holder.RecordGrant(grant)
		}
	})
}

// suspect lets host i begin to end host j.
func (w *world) suspect(i, j int) {
	p, o := w.live[i], w.objects[j]
	if p == nil || p.paused || o.version == 0 || o.member.State != lease.Active {
		return
	}
	member := o.member
	member.State = lease.Ending
	version, err := w.write(i, j, o.version, member)
	if err != nil {
		return
	}
	p.ending = &lease.Takeover{Timing: terms, Member: member, Version: version, StartTime: p.now(w.truth)}
}

// pursue asks a witness for its refusal and ends the member when it may.
func (w *world) pursue(i, j int) {
	p, q := w.live[i], w.live[j]
	if p == nil || p.paused || p.ending == nil {
		return
	}
	takeover := p.ending
	if q != nil && !q.paused && !w.cut[i][j] && !w.cut[j][i] &&
		q.witness.Refuse(q.now(w.truth), &takeover.Member, takeover.Version) {
		takeover.RecordRefusal(q.seat.Host)
	}
	if !takeover.Ready(p.now(w.truth)) {
		return
	}
	member := takeover.Member
	member.State = lease.Ended
	_, _ = w.write(i, w.index(member.Host), takeover.Version, member)
	p.ending = nil
}

// refresh reads the process's own object back, settles a write in doubt, and
// writes itself Active again when it is under suspicion.
func (w *world) refresh(t *rapid.T, i int, newPanel bool) {
	p, o := w.live[i], w.objects[i]
	if p == nil || p.paused || w.outage || w.noPlatform[i] || p.pending != nil {
		return
	}
	if o.version != 0 && o.member.Incarnation < p.seat.Incarnation {
		w.register(t, i, p)
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
		member.Panel = w.panel(t, i)
	}
	w.save(i, p, o.version, member, false)
}

// tick lets time pass and every process do what it does without faults:
// answers and letters arrive, leases are renewed, silent hosts are ended.
func (w *world) tick(t *rapid.T) {
	w.truth += time.Duration(rapid.IntRange(200, 1500).Draw(t, "ms")) * time.Millisecond
	for i, p := range w.live {
		if p.paused {
			continue
		}
		if p.pending != nil && !w.noPlatform[i] {
			p.pending()
		}
		w.beat(i)
	}
	w.deliver()
	w.deliver()
	for i, p := range w.live {
		if p.paused || w.noPlatform[i] {
			continue
		}
		if o := w.objects[i]; p.holder.NeedsRenewal(p.now(w.truth)) || o.member.State != lease.Active {
			w.refresh(t, i, false)
		}
		w.endSilent(i)
	}
}

// deliver carries all letters that are under way.
func (w *world) deliver() {
	letters := w.mail
	w.mail = nil
	for _, letter := range letters {
		letter()
	}
}

// endSilent begins or pursues the end of hosts that process i does not hear.
func (w *world) endSilent(i int) {
	p := w.live[i]
	for j := range hosts {
		if j == i {
			continue
		}
		w.pursue(i, j)
		at, heard := p.witness.LastGrant(lease.MemberID{Host: hostID(j), Incarnation: w.objects[j].member.Incarnation})
		if !heard || p.now(w.truth).Sub(at) > 3*time.Second {
			w.suspect(i, j)
		}
	}
}

// strand cuts a host off from the platform and from some of the others.
func (w *world) strand(t *rapid.T, i int) {
	w.noPlatform[i] = true
	for j := range hosts {
		lost := rapid.Bool().Draw(t, "lost")
		w.cut[i][j], w.cut[j][i] = lost, lost
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"": w.check,
		"crossed": func(t *rapid.T) {
			if len(w.mail) == 0 {
				return
			}
			n := rapid.IntRange(0, len(w.mail)-1).Draw(t, "letter")
			letter := w.mail[n]
			w.mail = append(w.mail[:n], w.mail[n+1:]...)
			letter()
		},
		"beat":    func(t *rapid.T) { w.beat(drawHost(t)) },
		"panel":   func(t *rapid.T) { w.refresh(t, drawHost(t), true) },
		"suspect": func(t *rapid.T) { w.suspect(drawHost(t), drawHost(t)) },
		"cut":     func(t *rapid.T) { i, j := drawHost(t), drawHost(t); w.cut[i][j] = !w.cut[i][j] },
		"heal":    func(*rapid.T) { w.cut = [hosts][hosts]bool{}; w.noPlatform = [hosts]bool{} },
		"alone":   func(t *rapid.T) { i := drawHost(t); w.noPlatform[i] = !w.noPlatform[i] },
		"strand":  func(t *rapid.T) { w.strand(t, drawHost(t)) },
		"outage":  func(*rapid.T) { w.outage = !w.outage },
		"hold":    func(*rapid.T) { w.hold = !w.hold },
		"land": func(t *rapid.T) {
			if len(w.held) > 0 {
				n := rapid.IntRange(0, len(w.held)-1).Draw(t, "write")
				write := w.held[n]
				w.held = append(w.held[:n], w.held[n+1:]...)
				write()
			}
		},
		"loss":  func(*rapid.T) { w.loss = !w.loss },
		"pause": func(t *rapid.T) { p := w.live[drawHost(t)]; p.paused = !p.paused },
		"replace": func(t *rapid.T) {
			i := drawHost(t)
			// The earlier life may be frozen elsewhere, and its own view of its
			// lease lives on, but nobody reaches it any more.
			w.live[i].paused = true
			w.old = append(w.old, w.live[i])
			w.start(t, i)
		},
	}
	// Most steps are ordinary ones, so that what follows a fault plays out.
	for n := range 10 {
		actions[fmt.Sprintf("ticks%d", n)] = func(t *rapid.T) {
			for range rapid.IntRange(1, 6).Draw(t, "ticks") {
				w.tick(t)
				w.check(t)
			}
		}
	}
	return actions
}

func TestNoHolderActsAfterItsEnd(t *testing.T) {
	fuzzing.Check(t, 6000, 60, func(t *rapid.T) {
		w := &world{}
		for i := range hosts {
			w.start(t, i)
			w.live[i].pending()
		}
		for i := range hosts {
			w.refresh(t, i, true)
			w.live[i].pending()
		}
		t.Repeat(w.actions())
	})
}

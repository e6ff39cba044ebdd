package target_test

import (
	"fmt"
	"testing"
	"time"

	"hibiscuslb/fleet/target"
)

// BenchmarkAdmission admits and ends one request while 16 others are in flight
// and the given number is queued.
func BenchmarkAdmission(b *testing.B) {
	for _, waiting := range []int{0, 64} {
		b.Run(fmt.Sprint("waiting ", waiting), func(b *testing.B) {
			a := new(target.Admission)
			a.SetLimits(target.Limits{Cold: 16, Warm: 16, MaxQueueLen: 65})
			id := target.TicketID(0)
			for range 16 + waiting {
				id++
				a.Offer(start, target.Ticket{ID: id, Priority: int(id) % 3})
			}
			sent := make([]target.TicketID, 0, 17+waiting)
			for n := range target.TicketID(16) {
				sent = append(sent, n+1)
			}
			b.ReportAllocs()
			for b.Loop() {
				id++
				a.Offer(start, target.Ticket{ID: id, Priority: 1})
				change := a.Finish(start.Add(time.Millisecond), sent[0], target.ResultComplete)
				sent = sent[1:]
				for _, ticket := range change.Admitted {
					sent = append(sent, ticket.ID)
				}
			}
		})
	}
}

package experiment

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
)

// An Event is a fault or a change that is applied during a run.
type Event struct {
	At     float64 // fraction of the requests that are sent before the event
	Name   string  // verb and object
	verb   string
	object string
}

// ParseEvents parses a list of events such as "0.3 out negombo, 0.6 back negombo". The
// verbs are:
//
//	out DATACENTRE    take the data centre out of service
//	back DATACENTRE   return it to service
//	platform MODE     set the fault mode of the platform, such as Down or Healthy
//	rate BYTES        limit the link of each store to so many bytes per second
//	cold N            make the engine with this number cold; the first is 1
func ParseEvents(text string) ([]Event, error) {
	var events []Event
	for part := range strings.SplitSeq(text, ",") {
		words := strings.Fields(part)
		if len(words) == 0 {
			continue
		}
		if len(words) != 3 {
			return nil, fmt.Errorf("event %q has %d words, want a share of the requests, a verb and an object", part, len(words))
		}
		at, err := strconv.ParseFloat(words[0], 64)
		if err != nil {
			return nil, fmt.Errorf("event %q: share of the requests: %w", part, err)
		}
		events = append(events, Event{At: at, Name: words[1] + " " + words[2], verb: words[1], object: words[2]})
	}
	return events, nil
}

// apply applies the event to the fleet of the run.
func (e *Event) apply(ctx context.Context, run *Experiment) error {
	switch e.verb {
	case "out":
		section := declaration.Section{ID: exceptionID(e.object), Fields: []declaration.Field{
			{Key: "Reason", Text: "experiment"}, {Key: "State", Text: "Out"}, {Key: "Subject", Text: "DataCentre " + e.object},
		}}
		return run.applyChange(ctx, declaration.Change{Put: []declaration.Section{section}})
	case "back":
		return run.applyChange(ctx, declaration.Change{Drop: []declaration.SectionID{exceptionID(e.object)}})
	case "platform":
		return post(ctx, run.Platform, "/admin/fault?Mode="+e.object)
	case "rate":
		for _, store := range run.Standins.Stores {
			if err := post(ctx, store, "/admin/rate?LinkRate="+e.object); err != nil {
				return err
			}
		}
		return nil
	case "cold":
		n, err := strconv.Atoi(e.object)
		if err != nil || n < 1 || n > len(run.Standins.Engines) {
			return fmt.Errorf("unknown engine %q, want a number from 1 to %d", e.object, len(run.Standins.Engines))
		}
		return post(ctx, run.Standins.Engines[n-1], "/admin/cold")
	default:
		return fmt.Errorf("unknown verb %q, want out, back, platform, rate or cold", e.verb)
	}
}

// exceptionID returns the ID of the exception that takes a data centre out of service.
func exceptionID(dataCentre string) declaration.SectionID {
	return declaration.SectionID{Kind: declaration.KindException, Name: "experiment-" + dataCentre}
}

// applyChange applies a change of the declaration. It does not wait until the change is
// in force, so that requests are sent meanwhile.
func (e *Experiment) applyChange(ctx context.Context, change declaration.Change) error {
	_, version, err := e.Operator.Declaration(ctx)
	if err != nil {
		return err
	}
	change.ID = declaration.ChangeID(rand.Text())
	_, err = e.Operator.Apply(ctx, version, change)
	return err
}

// post sends a POST request without a body to a stand-in.
func post(ctx context.Context, address fleet.Address, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(address)+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("stand-in %s returned HTTP status %d for %s, want %d", address, response.StatusCode, path, http.StatusOK)
	}
	return nil
}

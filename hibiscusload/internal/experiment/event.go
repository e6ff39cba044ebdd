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

// An Event is something that is brought about during a run.
type Event struct {
	At   float64 // share of the requests that are sent before
	Name string
	verb string
	what string
}

// ParseEvents reads events such as "0.3 out negombo, 0.6 back negombo". The
// verbs are out and back of a data centre, platform Down and platform Healthy,
// rate with the bytes per second of the stores' links, and cold with the
// number of an engine.
func ParseEvents(text string) ([]Event, error) {
	var events []Event
	for part := range strings.SplitSeq(text, ",") {
		words := strings.Fields(part)
		if len(words) == 0 {
			continue
		}
		if len(words) != 3 {
			return nil, fmt.Errorf("event %q: want a share, a verb and an object", part)
		}
		at, err := strconv.ParseFloat(words[0], 64)
		if err != nil {
			return nil, fmt.Errorf("event %q: %w", part, err)
		}
		events = append(events, Event{At: at, Name: words[1] + " " + words[2], verb: words[1], what: words[2]})
	}
	return events, nil
}

func (e *Event) apply(ctx context.Context, run *Experiment) error {
	switch e.verb {
	case "out":
		section := declaration.Section{ID: exceptionOf(e.what), Fields: []declaration.Field{
			{Key: "Reason", Text: "experiment"}, {Key: "State", Text: "Out"}, {Key: "Subject", Text: "DataCentre " + e.what},
		}}
		return run.change(ctx, declaration.Change{Put: []declaration.Section{section}})
	case "back":
		return run.change(ctx, declaration.Change{Drop: []declaration.SectionID{exceptionOf(e.what)}})
	case "platform":
		return post(ctx, run.Platform, "/admin/fault?Mode="+e.what)
	case "rate":
		for _, store := range run.Targets.Stores {
			if err := post(ctx, store, "/admin/rate?LinkRate="+e.what); err != nil {
				return err
			}
		}
		return nil
	case "cold":
		n, err := strconv.Atoi(e.what)
		if err != nil || n < 1 || n > len(run.Targets.Engines) {
			return fmt.Errorf("there is no engine %q", e.what)
		}
		return post(ctx, run.Targets.Engines[n-1], "/admin/cold")
	default:
		return fmt.Errorf("unknown verb %q", e.verb)
	}
}

func exceptionOf(centre string) declaration.SectionID {
	return declaration.SectionID{Kind: declaration.KindException, Name: "experiment-" + centre}
}

// change makes a change of the declaration. The run goes on while it comes
// into force.
func (e *Experiment) change(ctx context.Context, change declaration.Change) error {
	_, read, err := e.Operator.Declaration(ctx)
	if err != nil {
		return err
	}
	change.ID = declaration.ChangeID(rand.Text())
	_, err = e.Operator.Apply(ctx, read, change)
	return err
}

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
		return fmt.Errorf("%s%s answers %d", address, path, response.StatusCode)
	}
	return nil
}

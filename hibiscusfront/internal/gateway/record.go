package gateway

import (
	"net/http"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
)

// logFailedAttempt logs why an attempt at a target did not serve the request. The shared
// parts of its prompt, whether its answer had begun, and the fingerprint by which it is
// known when it comes again tell which request ended a target.
func (c *call) logFailedAttempt(g *plan.Grant, message string, err error) {
	c.Log.Info().Str("Request", c.ID.ForLog()).Str("Target", string(g.Target)).Str("Service", string(g.Service)).
		Uint64("Grant", uint64(g.Number)).Int("Tried", len(c.tried)).Stringer("Outcome", c.outcome).Stringer("Framing", c.framing).
		Strs("Parts", c.sharedParts()).Str("Fingerprint", string(c.fingerprint)).
		Str("Software", string(g.Software)).Str("LastEvent", cutForLog(c.LastEvent)).Dur("First", c.firstByte).AnErr("Cause", err).Msg(message)
}

// recordReplacedStart records a run that has begun on weights that had been replaced. It logs those
// that began in the second half of the time in which they may, and those of which this host does not know
// when that ends.
func (c *call) recordReplacedStart() {
	if c.Prompt == nil || c.grant.Version == 0 || c.WeightsBound == 0 {
		return
	}
	now := c.Clock()
	announcedAt, replaced := c.View().Weights[c.Prompt.Model].SupersededAt(c.grant.Version)
	if !replaced {
		return
	}
	replacedFor := time.Duration(0)
	if announcedAt > 0 {
		replacedFor = now.Sub(announcedAt)
		c.Meter.RecordReplacedStart(c.workspaceID(), c.route.Name, replacedFor)
		if replacedFor < c.WeightsBound/2 {
			return
		}
	}
	c.Log.Info().Str("Request", c.ID.ForLog()).Str("Target", string(c.grant.Target)).Uint64("Grant", uint64(c.grant.Number)).
		Uint64("Version", c.grant.Version).Bool("AnnouncedBeforeStart", announcedAt == 0).Dur("ReplacedFor", replacedFor).Dur("SinceSent", time.Since(c.sentAt)).
		Dur("StartWithin", c.grant.StartWithin).Str("Planner", string(c.grant.By)).Msg("run began on replaced weights")
}

// sharedParts returns the IDs of the prompt's first shared parts, for logs.
func (c *call) sharedParts() []string {
	if c.Prompt == nil {
		return nil
	}
	const maxLogged = 16 // prompts have a handful
	var ids []string
	shared := c.Prompt.Shared()
	for _, part := range shared[:min(len(shared), maxLogged)] {
		ids = append(ids, cutForLog(string(part.ID)))
	}
	return ids
}

// cutForLog bounds the length of what a caller sent, for logs.
func cutForLog(text string) string {
	const maxLength = 64 // bytes
	return text[:min(len(text), maxLength)]
}

// workspaceID returns the workspace's ID, or "" on a public route.
func (c *call) workspaceID() fleet.WorkspaceID {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.ID
}

// recordEnd logs the result of the request and records its metrics.
func (c *call) recordEnd() {
	total := time.Since(c.start)
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	workspace := c.workspaceID()
	c.Meter.RecordEnd(workspace, name, c.status, c.reason, c.firstByte, total)
	event := c.Log.Info()
	if c.reason == "" && c.status < http.StatusBadRequest {
		event = c.Log.Debug()
	}
	number := fleet.Version(0)
	if c.view.Table != nil {
		number = c.view.Table.Number
	}
	var grant plan.Grant
	if c.grant != nil {
		grant = *c.grant
	}
	if c.LastEvent != "" {
		event.Str("Resumes", c.Resumes.ForLog()).Str("LastEvent", cutForLog(c.LastEvent))
	}
	event.Str("Software", string(grant.Software)).Str("Request", c.ID.ForLog()).Str("Route", name).Str("Workspace", string(workspace)).
		Str("Target", string(grant.Target)).Uint64("Grant", uint64(grant.Number)).Int("Status", c.status).
		Str("Reason", string(c.reason)).Stringer("Outcome", c.outcome).Int("Tried", len(c.tried)).
		Uint64("Configuration", uint64(number)).Stringer("Framing", c.framing).Dur("First", c.firstByte).Dur("Total", total).Msg("request ended")
}

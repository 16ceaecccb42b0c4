package replicator

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lavenderhub/lavenderhub/schema"
)

// silences returns the time since each unresponsive replica was last heard from, for the leader's messages.
func (c *Core) silences(now time.Time) []*schema.Silence {
	var out []*schema.Silence
	for id, p := range c.progress {
		if d := now.Sub(p.lastContact); d >= contactTimeout || !p.replied {
			out = append(out, &schema.Silence{Id: id, Duration: durationpb.New(d)})
		}
	}
	return out
}

// recordSilences records when the leader last heard from each unresponsive replica, and the leader's own message.
func (c *Core) recordSilences(m *schema.ReplicaMessage, now time.Time) {
	clear(c.heardAt)
	for _, s := range m.GetSilences() {
		c.heardAt[s.GetId()] = now.Add(-s.GetDuration().AsDuration())
	}
	c.heardAt[m.GetFrom()] = now
}

// heardSilences returns the recorded silences, for the replies to a candidate. A candidate that was restarted knows none.
func (c *Core) heardSilences(now time.Time) []*schema.Silence {
	var out []*schema.Silence
	for id, at := range c.heardAt {
		out = append(out, &schema.Silence{Id: id, Duration: durationpb.New(now.Sub(at))})
	}
	return out
}

// mergeSilences adds the silences that a voter knows of to those that this candidate knows of.
func (c *Core) mergeSilences(m *schema.ReplicaMessage, now time.Time) {
	for _, s := range m.GetSilences() {
		at := now.Add(-s.GetDuration().AsDuration())
		if known, ok := c.heardAt[s.GetId()]; !ok || at.Before(known) {
			c.heardAt[s.GetId()] = at
		}
	}
}

// lastHeard returns when this replica or the previous leader last heard from another replica, as far as it is known to be silent
// since. For any other replica it returns now.
func (c *Core) lastHeard(id uint64, now time.Time) time.Time {
	if at, ok := c.heardAt[id]; ok {
		return at
	}
	return now
}

// sinceContact returns the time since a leader last heard from a replica, or zero for this replica itself. A new leader first
// gives each replica contactTimeout to reply, whatever earlier leaders heard.
func (c *Core) sinceContact(id uint64, now time.Time) time.Duration {
	p := c.progress[id]
	if p == nil {
		return 0
	}
	if led := now.Sub(c.electedAt); !p.replied && led < contactTimeout {
		return led
	}
	return now.Sub(p.lastContact)
}

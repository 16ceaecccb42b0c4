package forwarder

import (
	"encoding/hex"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
)

// logID returns the id under which a request is found in logs: the caller's own, or the one that the entry drew.
func (c *call) logID() string {
	if c.callerID != "" {
		return c.callerID
	}
	return hex.EncodeToString(c.id)
}

// explainEnd logs the end of a request at its entry, with what decided it.
func (f *Forwarder) explainEnd(c *call, a *answer, ref *refuser.Refusal, began time.Time) {
	now := f.Timer.Now()
	write := f.decisions.LogSuccess
	if ref != nil || a.status >= 500 {
		write = f.decisions.LogFailure
	}
	write(now, "requestEnded", func() []zap.Field {
		fields := append(outcomeFields(a, ref),
			zap.String("id", c.logID()), zap.String("service", c.route.Service), zap.String("route", c.route.Name),
			zap.String("account", c.account), zap.Uint32("rank", uint32(c.rank)),
			zap.Uint32("level", f.levels.Of(c.route.Service, c.route.Name, now)),
			zap.Uint64("revision", f.Control.View().Revision), zap.Duration("certificateAge", f.Control.Staleness()),
			zap.Duration("took", now.Sub(began)), zap.Duration("left", f.remaining(c.deadline)),
			zap.String("tried", strings.Join(c.tried, ",")), zap.Uint32("retries", c.budget.Spent()),
		)
		if ref != nil && ref.Reason == refuser.RateLimited && f.Control.View().AccountPolicy(c.account) != nil {
			fields = append(fields, f.rateFields(c.account)...)
		}
		return fields
	})
}

// explainRefused logs a request that was refused before it was known where it should go and who sent it. A path that holds the
// key is left out.
func (f *Forwarder) explainRefused(req *Request, ref *refuser.Refusal) {
	f.decisions.LogFailure(f.Timer.Now(), "requestRefused", func() []zap.Field {
		path := pathOf(req.Target)
		if holdsKey(path, req.Key) {
			path = ""
		}
		revision := uint64(0)
		if view := f.Control.View(); view != nil {
			revision = view.Revision
		}
		return append(outcomeFields(nil, ref),
			zap.String("id", req.CallerRequestID), zap.String("host", req.Host), zap.String("service", req.Service),
			zap.String("method", req.Method), zap.String("path", path), zap.Bool("hasKey", req.HasKey),
			zap.Uint64("revision", revision), zap.Duration("certificateAge", f.Control.Staleness()))
	})
}

// rateFields tells what a refusal for the rate was decided by.
func (f *Forwarder) rateFields(account string) []zap.Field {
	s, terms := f.Control.Bucket(account).State(), f.Control.View().AccountPolicy(account)
	return []zap.Field{
		zap.Float64("rate", terms.Rate), zap.Float64("burst", terms.Burst), zap.Float64("tokens", s.Tokens),
		zap.Float64("leased", s.Leased), zap.Float64("demand", s.Demand), zap.Float64("fleetDemand", s.FleetDemand),
		zap.Int("waiting", s.Waiting), zap.Duration("grantAge", s.GrantAge),
	}
}

func outcomeFields(a *answer, ref *refuser.Refusal) []zap.Field {
	if ref == nil {
		return []zap.Field{zap.String("outcome", string(refuser.Whole)), zap.Int("status", a.status)}
	}
	return []zap.Field{
		zap.String("outcome", string(ref.Outcome)), zap.String("reason", string(ref.Reason)), zap.String("message", ref.Message),
		zap.Duration("retryAfter", ref.RetryAfter),
	}
}

// explainGate logs a refusal of the gate in front of the own upstream.
func (f *Forwarder) explainGate(c *call, up *announcer.Upstream, d admitter.Decision) {
	now := f.Timer.Now()
	f.decisions.LogFailure(now, "gateRefused", func() []zap.Field {
		s := up.Gate.Report()
		return []zap.Field{
			zap.String("id", c.logID()), zap.String("service", c.route.Service), zap.String("instance", up.Instance),
			zap.String("outcome", string(gateRefusal(d).Reason)), zap.Uint32("rank", uint32(c.rank)), zap.Uint32("level", uint32(s.Level)),
			zap.Float64("load", s.Load), zap.Duration("mean", s.Mean), zap.Duration("left", f.remaining(c.deadline)),
		}
	})
}

// explainAttempt logs an attempt at a worker that did not bring a whole answer.
func (f *Forwarder) explainAttempt(c *call, node string, ref *refuser.Refusal, took time.Duration) {
	f.decisions.LogFailure(f.Timer.Now(), "attemptFailed", func() []zap.Field {
		return append(outcomeFields(nil, ref), zap.String("id", c.logID()), zap.String("service", c.route.Service),
			zap.String("worker", node), zap.Duration("took", took), zap.Bool("idempotent", c.idempotent), zap.Bool("final", ref.Final))
	})
}

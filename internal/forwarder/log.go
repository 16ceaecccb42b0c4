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

// logID returns the request ID used in logs: the caller's, or else the one that the entry node generated.
func (c *call) logID() string {
	if c.callerRequestID != "" {
		return c.callerRequestID
	}
	return hex.EncodeToString(c.id)
}

// logEnd logs the end of a request at its entry node, with the inputs to its decisions.
func (f *Forwarder) logEnd(c *call, resp *response, ref *refuser.Refusal, start time.Time) {
	now := f.Timer.Now()
	log := f.decisions.LogSuccess
	if ref != nil || resp.status >= 500 {
		log = f.decisions.LogFailure
	}
	log(now, "requestEnded", func() []zap.Field {
		fields := append(outcomeFields(resp, ref),
			zap.String("id", c.logID()), zap.String("service", c.route.Service), zap.String("route", c.route.Name),
			zap.String("account", c.account), zap.Uint32("rank", uint32(c.rank)),
			zap.Uint32("level", f.admissionLevels.Of(c.route.Service, c.route.Name, now)),
			zap.Uint64("revision", f.Control.View().Revision), zap.Duration("certificateAge", f.Control.CertificateAge()),
			zap.Duration("took", now.Sub(start)), zap.Duration("left", f.remaining(c.deadline)),
			zap.String("tried", strings.Join(c.triedNodes, ",")), zap.Uint32("retries", c.retryBudget.Spent()),
		)
		if ref != nil && ref.Reason == refuser.RateLimited && f.Control.View().AccountPolicy(c.account) != nil {
			fields = append(fields, f.rateFields(c.account)...)
		}
		return fields
	})
}

// logRefusal logs a request that was refused before its route and its caller were known. A path that contains the key is
// omitted.
func (f *Forwarder) logRefusal(req *Request, ref *refuser.Refusal) {
	f.decisions.LogFailure(f.Timer.Now(), "requestRefused", func() []zap.Field {
		path := targetPath(req.Target)
		if containsKey(path, req.Key) {
			path = ""
		}
		revision := uint64(0)
		if view := f.Control.View(); view != nil {
			revision = view.Revision
		}
		return append(outcomeFields(nil, ref),
			zap.String("id", req.CallerRequestID), zap.String("host", req.Host), zap.String("service", req.Service),
			zap.String("method", req.Method), zap.String("path", path), zap.Bool("hasKey", req.HasKey),
			zap.Uint64("revision", revision), zap.Duration("certificateAge", f.Control.CertificateAge()))
	})
}

// rateFields returns the log fields that explain a refusal for the account's rate.
func (f *Forwarder) rateFields(account string) []zap.Field {
	policy := f.Control.View().AccountPolicy(account)
	s := f.Control.Tokens.State(policy)
	return []zap.Field{
		zap.Float64("rate", policy.Rate), zap.Float64("burst", policy.Burst), zap.Float64("tokens", s.Tokens),
		zap.Float64("leased", s.Leased), zap.Float64("demand", s.Demand), zap.Float64("fleetDemand", s.FleetDemand),
		zap.Int("waiting", s.Waiting), zap.Duration("grantAge", s.GrantAge),
	}
}

func outcomeFields(resp *response, ref *refuser.Refusal) []zap.Field {
	if ref == nil {
		return []zap.Field{zap.String("outcome", string(refuser.Whole)), zap.Int("status", resp.status)}
	}
	return []zap.Field{
		zap.String("outcome", string(ref.Outcome)), zap.String("reason", string(ref.Reason)), zap.String("message", ref.Message),
		zap.Duration("retryAfter", ref.RetryAfter),
	}
}

// logGateRefusal logs a refusal by the local upstream's gate.
func (f *Forwarder) logGateRefusal(c *call, up *announcer.Upstream, d admitter.Decision) {
	now := f.Timer.Now()
	f.decisions.LogFailure(now, "gateRefused", func() []zap.Field {
		s := up.Gate.Report()
		return []zap.Field{
			zap.String("id", c.logID()), zap.String("service", c.route.Service), zap.String("instance", up.Instance),
			zap.String("outcome", string(gateRefusal(d).Reason)), zap.Uint32("rank", uint32(c.rank)), zap.Uint32("level", uint32(s.Level)),
			zap.Float64("load", s.Load), zap.Duration("mean", s.Mean), zap.Duration("left", f.remaining(c.deadline)),
			zap.Duration("coldLeft", s.ColdLeft),
		}
	})
}

// logBrokenResponse logs the error that ended the reading of the local upstream's response.
func (f *Forwarder) logBrokenResponse(c *call, up *announcer.Upstream, err error) {
	f.decisions.LogFailure(f.Timer.Now(), "responseBroke", func() []zap.Field {
		return []zap.Field{
			zap.String("id", c.logID()), zap.String("service", c.route.Service), zap.String("instance", up.Instance), zap.Error(err),
		}
	})
}

// logFailedAttempt logs an attempt that did not yield a complete response.
func (f *Forwarder) logFailedAttempt(c *call, node string, ref *refuser.Refusal, elapsed time.Duration) {
	f.decisions.LogFailure(f.Timer.Now(), "attemptFailed", func() []zap.Field {
		return append(outcomeFields(nil, ref), zap.String("id", c.logID()), zap.String("service", c.route.Service),
			zap.String("worker", node), zap.Duration("took", elapsed), zap.Bool("idempotent", c.idempotent), zap.Bool("final", ref.Final))
	})
}

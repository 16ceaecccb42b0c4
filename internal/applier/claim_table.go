package applier

import (
	"bytes"
	"time"

	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// ClaimRetention is how long an idempotency key is stored.
	ClaimRetention = 24 * time.Hour
	// maxClaims bounds the stored idempotency keys. A full table refuses new keys rather than drop one before its retention
	// ends.
	maxClaims = 2_000_000
)

// claimTable stores idempotency keys in the order in which they were claimed.
type claimTable struct {
	byKey map[claimKey]*schema.StoredClaim
	order []claimKey
}

type claimKey struct {
	account string
	key     string
}

func newClaimTable() claimTable {
	return claimTable{byKey: map[claimKey]*schema.StoredClaim{}}
}

func (t *claimTable) apply(changes []*schema.ClaimChange, timeMillis int64) []*schema.ClaimReply {
	out := make([]*schema.ClaimReply, len(changes))
	for i, c := range changes {
		if c.GetSettle() {
			t.settle(c)
			out[i] = &schema.ClaimReply{Status: schema.ReplyStatus_REPLY_STATUS_OK}
			continue
		}
		out[i] = t.claim(c, timeMillis)
	}
	return out
}

func (t *claimTable) claim(c *schema.ClaimChange, timeMillis int64) *schema.ClaimReply {
	k := claimKey{account: c.GetAccount(), key: c.GetIdempotencyKey()}
	old := t.byKey[k]
	switch {
	case old == nil && len(t.byKey) >= maxClaims:
		return &schema.ClaimReply{Status: schema.ReplyStatus_REPLY_STATUS_NOT_CONFIRMED}
	case old == nil:
		t.insert(&schema.StoredClaim{
			Account: c.GetAccount(), IdempotencyKey: c.GetIdempotencyKey(), Fingerprint: c.GetFingerprint(),
			Attempt: c.GetAttempt(), TimeMillis: timeMillis,
		})
		return claimReply(schema.ClaimState_CLAIM_STATE_GRANTED, nil)
	case !bytes.Equal(old.GetFingerprint(), c.GetFingerprint()):
		return claimReply(schema.ClaimState_CLAIM_STATE_MISMATCH, nil)
	case old.GetSettled() && old.GetAnswer() != nil:
		return claimReply(schema.ClaimState_CLAIM_STATE_ANSWERED, old.GetAnswer())
	case old.GetSettled():
		return claimReply(schema.ClaimState_CLAIM_STATE_DONE, nil)
	case bytes.Equal(old.GetAttempt(), c.GetAttempt()):
		return claimReply(schema.ClaimState_CLAIM_STATE_GRANTED, nil)
	default:
		return claimReply(schema.ClaimState_CLAIM_STATE_IN_PROGRESS, nil)
	}
}

func claimReply(state schema.ClaimState, a *schema.Answer) *schema.ClaimReply {
	return &schema.ClaimReply{Status: schema.ReplyStatus_REPLY_STATUS_OK, State: state, Answer: a}
}

// settle records the outcome of a claimed request, or deletes the claim if the request did not run. It ignores attempts
// that do not hold the claim.
func (t *claimTable) settle(c *schema.ClaimChange) {
	k := claimKey{account: c.GetAccount(), key: c.GetIdempotencyKey()}
	old := t.byKey[k]
	if old == nil || old.GetSettled() || !bytes.Equal(old.GetAttempt(), c.GetAttempt()) {
		return
	}
	if c.GetNotRun() {
		delete(t.byKey, k)
		return
	}
	t.byKey[k] = &schema.StoredClaim{
		Account: old.GetAccount(), IdempotencyKey: old.GetIdempotencyKey(), Fingerprint: old.GetFingerprint(),
		Attempt: old.GetAttempt(), TimeMillis: old.GetTimeMillis(), Settled: true, Answer: c.GetAnswer(),
	}
}

func (t *claimTable) insert(c *schema.StoredClaim) {
	k := claimKey{account: c.GetAccount(), key: c.GetIdempotencyKey()}
	t.byKey[k] = c
	t.order = append(t.order, k)
}

// expire deletes keys past their retention. A key that was released and claimed again is in the order twice; the time of
// its record decides when it expires.
func (t *claimTable) expire(timeMillis int64) {
	oldest := timeMillis - ClaimRetention.Milliseconds()
	for len(t.order) > 0 {
		c := t.byKey[t.order[0]]
		if c != nil && c.GetTimeMillis() >= oldest {
			return
		}
		if c != nil {
			delete(t.byKey, t.order[0])
		}
		t.order = t.order[1:]
	}
}

func (t *claimTable) stored() []*schema.StoredClaim {
	out := make([]*schema.StoredClaim, 0, len(t.byKey))
	seen := make(map[claimKey]bool, len(t.byKey))
	for _, k := range t.order {
		if c := t.byKey[k]; c != nil && !seen[k] {
			out = append(out, c)
			seen[k] = true
		}
	}
	return out
}

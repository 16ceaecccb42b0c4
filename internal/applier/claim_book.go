package applier

import (
	"bytes"
	"time"

	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// ClaimRetention is how long an idempotency key is remembered.
	ClaimRetention = 24 * time.Hour
	// maxClaims bounds the remembered idempotency keys. A full book refuses new ones; it forgets none early.
	maxClaims = 2_000_000
)

// claimBook remembers idempotency keys in the order in which they were claimed.
type claimBook struct {
	byKey map[claimKey]*schema.StoredClaim
	order []claimKey
}

type claimKey struct {
	account string
	key     string
}

func newClaimBook() claimBook {
	return claimBook{byKey: map[claimKey]*schema.StoredClaim{}}
}

func (b *claimBook) apply(changes []*schema.ClaimChange, timeMillis int64) []*schema.ClaimReply {
	out := make([]*schema.ClaimReply, len(changes))
	for i, c := range changes {
		if c.GetSettle() {
			b.settle(c)
			out[i] = &schema.ClaimReply{Status: schema.ReplyStatus_REPLY_STATUS_OK}
			continue
		}
		out[i] = b.claim(c, timeMillis)
	}
	return out
}

func (b *claimBook) claim(c *schema.ClaimChange, timeMillis int64) *schema.ClaimReply {
	k := claimKey{account: c.GetAccount(), key: c.GetIdempotencyKey()}
	old := b.byKey[k]
	switch {
	case old == nil && len(b.byKey) >= maxClaims:
		return &schema.ClaimReply{Status: schema.ReplyStatus_REPLY_STATUS_NOT_CONFIRMED}
	case old == nil:
		b.put(&schema.StoredClaim{
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

// settle records an outcome. An attempt that does not hold the claim changes nothing.
func (b *claimBook) settle(c *schema.ClaimChange) {
	k := claimKey{account: c.GetAccount(), key: c.GetIdempotencyKey()}
	old := b.byKey[k]
	if old == nil || old.GetSettled() || !bytes.Equal(old.GetAttempt(), c.GetAttempt()) {
		return
	}
	if c.GetNotRun() {
		delete(b.byKey, k)
		return
	}
	b.byKey[k] = &schema.StoredClaim{
		Account: old.GetAccount(), IdempotencyKey: old.GetIdempotencyKey(), Fingerprint: old.GetFingerprint(),
		Attempt: old.GetAttempt(), TimeMillis: old.GetTimeMillis(), Settled: true, Answer: c.GetAnswer(),
	}
}

func (b *claimBook) put(c *schema.StoredClaim) {
	k := claimKey{account: c.GetAccount(), key: c.GetIdempotencyKey()}
	b.byKey[k] = c
	b.order = append(b.order, k)
}

// expire forgets keys past their retention. A key that was given up and claimed again stands twice in the order;
// its record's own time decides.
func (b *claimBook) expire(timeMillis int64) {
	oldest := timeMillis - ClaimRetention.Milliseconds()
	for len(b.order) > 0 {
		c := b.byKey[b.order[0]]
		if c != nil && c.GetTimeMillis() >= oldest {
			return
		}
		if c != nil {
			delete(b.byKey, b.order[0])
		}
		b.order = b.order[1:]
	}
}

func (b *claimBook) stored() []*schema.StoredClaim {
	out := make([]*schema.StoredClaim, 0, len(b.byKey))
	seen := make(map[claimKey]bool, len(b.byKey))
	for _, k := range b.order {
		if c := b.byKey[k]; c != nil && !seen[k] {
			out = append(out, c)
			seen[k] = true
		}
	}
	return out
}

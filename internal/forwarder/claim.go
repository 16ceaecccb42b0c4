package forwarder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/applier"
	"github.com/lavenderhub/lavenderhub/internal/authenticator"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
	"github.com/lavenderhub/lavenderhub/internal/retrier"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// maxClaimKey bounds an idempotency key in bytes.
	maxClaimKey = 255
	// settleTimeout bounds the wait for an outcome to be recorded before the answer goes out.
	settleTimeout = 2 * time.Second
	// uuidTimeDigits is the number of hexadecimal digits of the time in a version 7 UUID (RFC 9562).
	uuidTimeDigits = 12
)

// dispatchOnce dispatches a call. With an idempotency key, a call that must run at most once is claimed first.
func (f *Forwarder) dispatchOnce(ctx context.Context, key string, c *call) (*answer, *refuser.Refusal) {
	if key == "" || c.idempotent {
		return f.dispatch(ctx, c)
	}
	if ref := f.checkClaimKey(key); ref != nil {
		return nil, ref
	}
	scoped := c.route.Service + "\n" + key
	attempt := authenticator.NewRequestID()
	a, ref := f.claim(ctx, scoped, attempt, c)
	if a != nil || ref != nil {
		return a, ref
	}
	a, ref = f.dispatch(ctx, c)
	f.settle(scoped, attempt, c, a, ref)
	if a != nil {
		a.header.Set(headerWindow, applier.ClaimRetention.String())
	}
	return a, ref
}

// checkClaimKey refuses keys that can't be remembered, and version 7 UUIDs from before the retention began.
func (f *Forwarder) checkClaimKey(key string) *refuser.Refusal {
	if len(key) > maxClaimKey {
		return badRequest("the Idempotency-Key is longer than " + strconv.Itoa(maxClaimKey) + " bytes")
	}
	made, ok := timeOfUUID(key)
	if ok && f.Timer.Now().Sub(made) > applier.ClaimRetention {
		return refuser.New(refuser.NotRun, refuser.IdempotencyKeyExpired, "the Idempotency-Key is older than "+applier.ClaimRetention.String())
	}
	return nil
}

func timeOfUUID(key string) (time.Time, bool) {
	hexDigits := strings.ReplaceAll(key, "-", "")
	if len(hexDigits) != 32 || hexDigits[12] != '7' {
		return time.Time{}, false
	}
	if _, err := hex.DecodeString(hexDigits); err != nil {
		return time.Time{}, false
	}
	millis, err := strconv.ParseInt(hexDigits[:uuidTimeDigits], 16, 64)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(millis), true
}

// claim reserves the key. Both results are nil when the call may be dispatched.
func (f *Forwarder) claim(ctx context.Context, key string, attempt []byte, c *call) (*answer, *refuser.Refusal) {
	sum := sha256.Sum256([]byte(c.method + "\n" + c.target + "\n" + string(c.body)))
	reply, err := f.Control.Claim(ctx, &schema.ClaimRequest{
		Account: c.account, IdempotencyKey: key, Fingerprint: sum[:], Attempt: attempt,
	})
	if err != nil {
		f.giveUp(key, attempt, c)
		return nil, sendAway(refuser.NotReady, "the Idempotency-Key can't be recorded now")
	}
	switch reply.GetState() {
	case schema.ClaimState_CLAIM_STATE_GRANTED:
		return nil, nil
	case schema.ClaimState_CLAIM_STATE_ANSWERED:
		return storedAnswer(reply.GetAnswer()), nil
	case schema.ClaimState_CLAIM_STATE_DONE:
		return nil, refuser.New(refuser.AlreadyRun, refuser.Settled, "an earlier request with this Idempotency-Key ran")
	case schema.ClaimState_CLAIM_STATE_MISMATCH:
		return nil, refuser.New(refuser.NotRun, refuser.IdempotencyKeyReused, "another request used this Idempotency-Key")
	default:
		return nil, refuser.NewRetryable(refuser.Unknown, refuser.InProgress,
			"an earlier request with this Idempotency-Key may be running", retrier.RetryAfter(retrier.Capacity, 0, 0, rand.Float64()))
	}
}

// storedHeaders returns the headers that are kept with an answer, as far as they fit.
func storedHeaders(h http.Header) []*schema.Header {
	var out []*schema.Header
	size := 0
	for name, values := range h {
		for _, v := range values {
			if size += len(name) + len(v); size > storedHeaderBytes {
				return out
			}
			out = append(out, &schema.Header{Name: name, Value: v})
		}
	}
	return out
}

func storedAnswer(stored *schema.Answer) *answer {
	h := http.Header{}
	for _, one := range stored.GetHeaders() {
		h.Add(one.GetName(), one.GetValue())
	}
	h.Set(refuser.HeaderOutcome, string(refuser.AlreadyRun))
	h.Set(refuser.HeaderReason, string(refuser.Settled))
	h.Set(headerWindow, applier.ClaimRetention.String())
	return &answer{status: int(stored.GetStatus()), header: h, held: stored.GetBody(), length: int64(len(stored.GetBody()))}
}

// settle records what became of a claimed call. A call whose outcome is unknown keeps its claim for good.
func (f *Forwarder) settle(key string, attempt []byte, c *call, a *answer, ref *refuser.Refusal) {
	req := &schema.SettleRequest{Account: c.account, IdempotencyKey: key, Attempt: attempt}
	switch {
	case ref != nil && ref.Outcome == refuser.NotRun:
		req.NotRun = true
	case ref != nil:
		return
	case a.isWhole() && len(a.held) <= storedBody:
		req.Answer = &schema.Answer{Status: uint32(a.status), Headers: storedHeaders(a.header), Body: a.held}
	}
	f.send(req)
}

// giveUp frees a claim that may or may not have been recorded, for a call that was not dispatched.
func (f *Forwarder) giveUp(key string, attempt []byte, c *call) {
	f.send(&schema.SettleRequest{Account: c.account, IdempotencyKey: key, Attempt: attempt, NotRun: true})
}

// send records an outcome. The caller may have gone, so its context does not bound it.
func (f *Forwarder) send(req *schema.SettleRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := f.Control.Settle(ctx, req); err != nil {
		f.meters.refused("settleLost")
	}
}

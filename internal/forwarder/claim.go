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
	"unicode/utf8"

	"github.com/lavenderhub/lavenderhub/internal/applier"
	"github.com/lavenderhub/lavenderhub/internal/authenticator"
	"github.com/lavenderhub/lavenderhub/internal/refuser"
	"github.com/lavenderhub/lavenderhub/internal/retrier"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// maxIdempotencyKey is the maximum length of an idempotency key in bytes.
	maxIdempotencyKey = 255
	// settleTimeout bounds how long recording an outcome may delay the response.
	settleTimeout = 2 * time.Second
	// uuidTimeDigits is the number of hexadecimal digits of the timestamp in a version 7 UUID (RFC 9562).
	uuidTimeDigits = 12
)

// dispatchOnce dispatches a call. A call that is not idempotent and has an idempotency key is claimed first.
func (f *Forwarder) dispatchOnce(ctx context.Context, key string, c *call) (*response, *refuser.Refusal) {
	if key == "" || c.idempotent {
		return f.dispatch(ctx, c)
	}
	if ref := f.checkIdempotencyKey(key); ref != nil {
		return nil, ref
	}
	scopedKey := c.route.Service + "\n" + key
	attemptID := authenticator.NewRequestID()
	resp, ref := f.claim(ctx, scopedKey, attemptID, c)
	if resp != nil || ref != nil {
		return resp, ref
	}
	resp, ref = f.dispatch(ctx, c)
	f.settleClaim(scopedKey, attemptID, c, resp, ref)
	if resp != nil {
		resp.header.Set(headerIdempotencyWindow, applier.ClaimRetention.String())
	}
	return resp, ref
}

// checkIdempotencyKey refuses keys that are too long or not in UTF-8, and version 7 UUIDs older than the retention of claims.
func (f *Forwarder) checkIdempotencyKey(key string) *refuser.Refusal {
	if len(key) > maxIdempotencyKey {
		return badRequest("the Idempotency-Key is longer than " + strconv.Itoa(maxIdempotencyKey) + " bytes")
	}
	if !utf8.ValidString(key) {
		return badRequest("the Idempotency-Key is not in UTF-8")
	}
	created, ok := uuidTime(key)
	if ok && f.Timer.Now().Sub(created) > applier.ClaimRetention {
		return refuser.New(refuser.NotRun, refuser.IdempotencyKeyExpired, "the Idempotency-Key is older than "+applier.ClaimRetention.String())
	}
	return nil
}

func uuidTime(key string) (time.Time, bool) {
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

// claim reserves the idempotency key. Both results are nil when the call may be dispatched.
func (f *Forwarder) claim(ctx context.Context, key string, attemptID []byte, c *call) (*response, *refuser.Refusal) {
	fingerprint := sha256.New()
	_, _ = fingerprint.Write([]byte(c.method + "\n" + c.target + "\n"))
	_, _ = c.body.WriteTo(fingerprint)
	reply, err := f.Control.Claim(ctx, &schema.ClaimRequest{
		Account: c.account, IdempotencyKey: key, Fingerprint: fingerprint.Sum(nil), Attempt: attemptID,
	})
	if err != nil {
		f.releaseClaim(key, attemptID, c)
		return nil, refuseNotRun(refuser.NotReady, "the Idempotency-Key can't be recorded now")
	}
	switch reply.GetState() {
	case schema.ClaimState_CLAIM_STATE_GRANTED:
		return nil, nil
	case schema.ClaimState_CLAIM_STATE_ANSWERED:
		return storedResponse(reply.GetAnswer()), nil
	case schema.ClaimState_CLAIM_STATE_DONE:
		return nil, refuser.New(refuser.AlreadyRun, refuser.Settled, "an earlier request with this Idempotency-Key ran")
	case schema.ClaimState_CLAIM_STATE_MISMATCH:
		return nil, refuser.New(refuser.NotRun, refuser.IdempotencyKeyReused, "another request used this Idempotency-Key")
	default:
		return nil, refuser.NewRetryable(refuser.Unknown, refuser.InProgress,
			"an earlier request with this Idempotency-Key may be running", retrier.RetryAfter(retrier.Capacity, 0, 0, rand.Float64()))
	}
}

// storedHeaders returns the headers to store with a response, up to maxStoredHeaderBytes.
func storedHeaders(h http.Header) []*schema.Header {
	var out []*schema.Header
	size := 0
	for name, values := range h {
		for _, v := range values {
			if size += len(name) + len(v); size > maxStoredHeaderBytes {
				return out
			}
			out = append(out, &schema.Header{Name: name, Value: []byte(v)})
		}
	}
	return out
}

func storedResponse(stored *schema.Answer) *response {
	h := http.Header{}
	for _, header := range stored.GetHeaders() {
		h.Add(header.GetName(), string(header.GetValue()))
	}
	h.Set(refuser.HeaderOutcome, string(refuser.AlreadyRun))
	h.Set(refuser.HeaderReason, string(refuser.Settled))
	h.Set(headerIdempotencyWindow, applier.ClaimRetention.String())
	return &response{status: int(stored.GetStatus()), header: h, buffered: stored.GetBody(), length: int64(len(stored.GetBody()))}
}

// settleClaim records the outcome of a claimed call. The claim of a call whose outcome is unknown is not released.
func (f *Forwarder) settleClaim(key string, attemptID []byte, c *call, resp *response, ref *refuser.Refusal) {
	req := &schema.SettleRequest{Account: c.account, IdempotencyKey: key, Attempt: attemptID}
	switch {
	case ref != nil && ref.Outcome == refuser.NotRun:
		req.NotRun = true
	case ref != nil:
		return
	case resp.isComplete() && len(resp.buffered) <= maxStoredBody:
		req.Answer = &schema.Answer{Status: uint32(resp.status), Headers: storedHeaders(resp.header), Body: resp.buffered}
	}
	f.sendSettle(req)
}

// releaseClaim frees a claim of a call that was not dispatched. The claim may or may not have been recorded.
func (f *Forwarder) releaseClaim(key string, attemptID []byte, c *call) {
	f.sendSettle(&schema.SettleRequest{Account: c.account, IdempotencyKey: key, Attempt: attemptID, NotRun: true})
}

// sendSettle records an outcome. It uses its own context, because the caller's may have ended.
func (f *Forwarder) sendSettle(req *schema.SettleRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := f.Control.Settle(ctx, req); err != nil {
		f.meters.countRefusal("settleLost")
	}
}

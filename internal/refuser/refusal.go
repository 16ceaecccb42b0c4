// Package refuser defines the outcomes of requests and writes the responses that a node generates itself in place of an
// upstream's.
package refuser

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Outcome states whether an upstream ran a request and whether its response reached the caller.
type Outcome string

// Outcomes. A refusal must not have the outcome NotRun once a byte of the request may have reached an upstream.
const (
	// Whole means that the upstream's complete response reached the caller.
	Whole Outcome = "whole"
	// NotRun means that no upstream received any part of the request.
	NotRun Outcome = "notRun"
	// Unknown means that an upstream may have run the request.
	Unknown Outcome = "unknown"
	// AlreadyRun means that an earlier request with the same idempotency key ran.
	AlreadyRun Outcome = "alreadyRun"
	// Failed means that the upstream ran the request and its response broke off.
	Failed Outcome = "failed"
)

// Reason is the reason why a request was refused or failed.
type Reason string

// Reasons.
const (
	RateLimited           Reason = "rateLimited"
	Overloaded            Reason = "overloaded"
	Unauthorized          Reason = "unauthorized"
	Draining              Reason = "draining"
	DeadlineExceeded      Reason = "deadlineExceeded"
	NoUpstream            Reason = "noUpstream"
	UnknownService        Reason = "unknownService"
	RetryBudgetSpent      Reason = "retryBudgetSpent"
	NotReady              Reason = "notReady"
	UpstreamBroke         Reason = "upstreamBroke"
	BadRequest            Reason = "badRequest"
	BodyTooLarge          Reason = "bodyTooLarge"
	InProgress            Reason = "inProgress"
	Settled               Reason = "settled"
	IdempotencyKeyReused  Reason = "idempotencyKeyReused"
	IdempotencyKeyExpired Reason = "idempotencyKeyExpired"
	ConnectionLost        Reason = "connectionLost"
	UpstreamFailing       Reason = "upstreamFailing"
	CallerLeft            Reason = "callerLeft"
	Declined              Reason = "declined"
	SlowAttempt           Reason = "slowAttempt"
	Suspended             Reason = "suspended"
	OutOfMemory           Reason = "outOfMemory"
)

// Names of the headers that describe an outcome.
const (
	HeaderOutcome = "Lavenderhub-Outcome"
	HeaderReason  = "Lavenderhub-Reason"
)

// statusClientClosed is the status logged for a caller that closed its connection. No caller receives it.
const statusClientClosed = 499

// Refusal is a response that a node generates in place of an upstream's.
type Refusal struct {
	Status     int
	Outcome    Outcome
	Reason     Reason
	Message    string
	RetryAfter time.Duration
	// Final reports whether the failure comes from a nested call or was already retried further down the call chain. The
	// previous hop must not retry it.
	Final bool
}

// New returns a refusal with the HTTP status of the reason.
func New(outcome Outcome, reason Reason, message string) *Refusal {
	return &Refusal{Status: statusOf(reason), Outcome: outcome, Reason: reason, Message: message}
}

// NewRetryable returns a refusal that asks the caller to retry after the given time.
func NewRetryable(outcome Outcome, reason Reason, message string, after time.Duration) *Refusal {
	r := New(outcome, reason, message)
	r.RetryAfter = after
	return r
}

func statusOf(reason Reason) int {
	switch reason {
	case RateLimited:
		return http.StatusTooManyRequests
	case Unauthorized:
		return http.StatusUnauthorized
	case DeadlineExceeded, SlowAttempt:
		return http.StatusGatewayTimeout
	case UpstreamBroke, ConnectionLost:
		return http.StatusBadGateway
	case BadRequest:
		return http.StatusBadRequest
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case UnknownService:
		return http.StatusNotFound
	case InProgress, Settled:
		return http.StatusConflict
	case IdempotencyKeyReused, IdempotencyKeyExpired:
		return http.StatusUnprocessableEntity
	case CallerLeft:
		return statusClientClosed
	default:
		return http.StatusServiceUnavailable
	}
}

// body is the JSON body of a refusal.
type body struct {
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason"`
	Message string  `json:"message"`
}

// Write sends the refusal as an HTTP response with a JSON body.
func (r *Refusal) Write(w http.ResponseWriter) {
	data, _ := json.Marshal(body{Outcome: r.Outcome, Reason: r.Reason, Message: r.Message})
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	h.Set(HeaderOutcome, string(r.Outcome))
	h.Set(HeaderReason, string(r.Reason))
	if r.Reason == Unauthorized {
		h.Set("WWW-Authenticate", `Bearer realm="lavenderhub"`)
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds(r.RetryAfter)))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(data)
}

// maxRead is the maximum number of bytes read from a refusal's body.
const maxRead = 4096

// Read returns the refusal in another node's response, and closes the response's body.
func Read(resp *http.Response) *Refusal {
	defer func() { _ = resp.Body.Close() }()
	var b body
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxRead))
	if err == nil {
		// The headers carry everything that decisions depend on; with an invalid body only the message is lost.
		_ = json.Unmarshal(data, &b)
	}
	r := &Refusal{
		Status:  resp.StatusCode,
		Outcome: Outcome(resp.Header.Get(HeaderOutcome)),
		Reason:  Reason(resp.Header.Get(HeaderReason)),
		Message: b.Message,
	}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		r.RetryAfter = time.Duration(s) * time.Second
	}
	return r
}

// retryAfterSeconds rounds d up to seconds and adds zero or one second at random, so that callers do not retry at the same time.
func retryAfterSeconds(d time.Duration) int {
	seconds := int((d + time.Second - 1) / time.Second)
	return seconds + rand.IntN(2)
}

// MayHaveRun reports whether an upstream may have seen the request.
func (r *Refusal) MayHaveRun() bool {
	return r.Outcome != NotRun
}

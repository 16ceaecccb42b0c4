package controller

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// courierQueue bounds the messages that wait for one replica. Later ones are lost, which the protocol bears.
	courierQueue = 1024
	// courierBatch bounds the messages of one call.
	courierBatch = 64
	// stepTimeout bounds one call; snapshotTimeout one that carries a snapshot.
	stepTimeout     = 500 * time.Millisecond
	snapshotTimeout = 10 * time.Second
)

// courier sends messages to one replica, in order.
type courier struct {
	address netip.AddrPort
	sender  *schema.StepRequest
	queue   chan *schema.ReplicaMessage
	client  schema.Replica
	tomb    tomb.Tomb
}

// post hands messages to the couriers of their receivers.
func (c *Controller) post(messages []*schema.ReplicaMessage) {
	for _, m := range messages {
		courier := c.courierOf(m.GetTo())
		if courier == nil {
			continue
		}
		select {
		case courier.queue <- m:
		default:
		}
	}
}

func (c *Controller) courierOf(id uint64) *courier {
	addr, ok := c.addressOf(id)
	if !ok {
		return nil
	}
	found := c.couriers[id]
	if found != nil && found.address == addr {
		return found
	}
	if found != nil {
		found.tomb.Kill(nil)
	}
	peer := c.pool.Peer(addr)
	fresh := &courier{
		address: addr,
		sender:  &schema.StepRequest{Id: c.core.Status().ID, Address: c.cfg.GetAddress()},
		queue:   make(chan *schema.ReplicaMessage, courierQueue),
		client:  schema.NewReplicaProtobufClient(peer.URL(""), c.clientOf(peer)),
	}
	fresh.tomb.Go(fresh.run)
	c.couriers[id] = fresh
	return fresh
}

// addressOf returns the address of a replica: from the set in force, or as it gave it itself to a replica that does not
// know the set yet.
func (c *Controller) addressOf(id uint64) (netip.AddrPort, bool) {
	for _, r := range c.core.Status().Replicas {
		if r.GetId() == id {
			addr, err := netip.ParseAddrPort(r.GetAddress())
			return addr, err == nil
		}
	}
	addr, ok := c.senders[id]
	return addr, ok
}

func (c *Controller) stopCouriers() {
	for _, courier := range c.couriers {
		courier.tomb.Kill(nil)
		_ = courier.tomb.Wait()
	}
}

// run is the courier's goroutine.
func (q *courier) run() error {
	ctx := q.tomb.Context(context.Background())
	for {
		select {
		case m := <-q.queue:
			q.deliver(ctx, q.gather(m))
		case <-q.tomb.Dying():
			return nil
		}
	}
}

// gather adds to a message what else waits.
func (q *courier) gather(m *schema.ReplicaMessage) []*schema.ReplicaMessage {
	batch := []*schema.ReplicaMessage{m}
	for len(batch) < courierBatch {
		select {
		case m = <-q.queue:
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

// deliver makes one call. A lost message is sent again by the protocol.
func (q *courier) deliver(ctx context.Context, batch []*schema.ReplicaMessage) {
	limit := stepTimeout
	for _, m := range batch {
		if m.GetSnapshot() != nil {
			limit = snapshotTimeout
		}
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, _ = q.client.Step(ctx, &schema.StepRequest{Messages: batch, Id: q.sender.GetId(), Address: q.sender.GetAddress()})
}

// Step takes in messages of other replicas; it implements the Replica service.
func (c *Controller) Step(ctx context.Context, req *schema.StepRequest) (*schema.StepReply, error) {
	sender, addrErr := netip.ParseAddrPort(req.GetAddress())
	err := c.do(ctx, func(now time.Time) {
		if addrErr == nil && c.core.IsBlank() {
			c.senders[req.GetId()] = sender
		}
		for _, m := range req.GetMessages() {
			c.core.Step(m, now)
		}
	})
	if err != nil {
		return nil, err
	}
	return &schema.StepReply{}, nil
}

// clientOf returns an HTTP client for calls to another process of the fleet.
func (c *Controller) clientOf(peer *dialer.Peer) *http.Client {
	return &http.Client{Transport: dialer.WithToken(peer, c.fleet)}
}

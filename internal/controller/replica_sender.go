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
	// senderQueueSize bounds the messages queued for one replica. Messages beyond it are dropped, which the replication
	// protocol tolerates.
	senderQueueSize = 1024
	// maxSenderBatch bounds the messages in one call, and maxSenderBytes the entries in them.
	maxSenderBatch = 64
	maxSenderBytes = 1 << 20
	// stepTimeout bounds the duration of a call, snapshotTimeout that of a call with a snapshot.
	stepTimeout     = 500 * time.Millisecond
	snapshotTimeout = 10 * time.Second
)

// replicaSender sends messages to one replica, in order.
type replicaSender struct {
	address netip.AddrPort
	// origin holds the ID and address of this replica.
	origin *schema.StepRequest
	queue  chan *schema.ReplicaMessage
	client schema.Replica
	tomb   tomb.Tomb
}

// sendMessages queues each message at the sender of its destination. It drops messages to replicas whose address is
// unknown or whose queue is full.
func (c *Controller) sendMessages(messages []*schema.ReplicaMessage) {
	for _, m := range messages {
		sender := c.senderTo(m.GetTo())
		if sender == nil {
			continue
		}
		select {
		case sender.queue <- m:
		default:
		}
	}
}

// senderTo returns the sender for a replica, or nil if the replica's address is unknown. It replaces a sender whose
// replica has changed its address.
func (c *Controller) senderTo(id uint64) *replicaSender {
	addr, ok := c.addressOf(id)
	if !ok {
		return nil
	}
	existing := c.replicaSenders[id]
	if existing != nil && existing.address == addr {
		return existing
	}
	if existing != nil {
		existing.tomb.Kill(nil)
	}
	peer := c.pool.Peer(addr)
	sender := &replicaSender{
		address: addr,
		origin:  &schema.StepRequest{Id: c.core.Status().ID, Address: c.cfg.GetAddress()},
		queue:   make(chan *schema.ReplicaMessage, senderQueueSize),
		client:  schema.NewReplicaProtobufClient(peer.URL(""), c.clientOf(peer)),
	}
	sender.tomb.Go(sender.run)
	c.replicaSenders[id] = sender
	return sender
}

// addressOf returns the address of a replica from the current replica set. If the set does not contain the replica, it
// returns the address that the replica sent with its messages while this one was blank.
func (c *Controller) addressOf(id uint64) (netip.AddrPort, bool) {
	for _, r := range c.core.Replicas() {
		if r.GetId() == id {
			addr, err := netip.ParseAddrPort(r.GetAddress())
			return addr, err == nil
		}
	}
	addr, ok := c.learnedAddresses[id]
	return addr, ok
}

func (c *Controller) stopReplicaSenders() {
	for _, sender := range c.replicaSenders {
		sender.tomb.Kill(nil)
		_ = sender.tomb.Wait()
	}
}

// run sends queued messages until the sender is stopped.
func (s *replicaSender) run() error {
	ctx := s.tomb.Context(context.Background())
	for {
		select {
		case m := <-s.queue:
			s.send(ctx, s.collectBatch(m))
		case <-s.tomb.Dying():
			return nil
		}
	}
}

// collectBatch returns m and the messages queued behind it, up to maxSenderBatch and some more than maxSenderBytes.
func (s *replicaSender) collectBatch(m *schema.ReplicaMessage) []*schema.ReplicaMessage {
	batch := []*schema.ReplicaMessage{m}
	size := entryBytes(m)
	for len(batch) < maxSenderBatch && size < maxSenderBytes {
		select {
		case m = <-s.queue:
			batch = append(batch, m)
			size += entryBytes(m)
		default:
			return batch
		}
	}
	return batch
}

func entryBytes(m *schema.ReplicaMessage) int {
	size := 0
	for _, e := range m.GetEntries() {
		size += len(e.GetData())
	}
	return size
}

// send makes one call and ignores its error: the replication protocol resends lost messages.
func (s *replicaSender) send(ctx context.Context, batch []*schema.ReplicaMessage) {
	limit := stepTimeout
	for _, m := range batch {
		if m.GetSnapshot() != nil {
			limit = snapshotTimeout
		}
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, _ = s.client.Step(ctx, &schema.StepRequest{Messages: batch, Id: s.origin.GetId(), Address: s.origin.GetAddress()})
}

// Step handles messages from another replica. It implements the Replica service.
func (c *Controller) Step(ctx context.Context, req *schema.StepRequest) (*schema.StepReply, error) {
	address, addrErr := netip.ParseAddrPort(req.GetAddress())
	err := c.doUrgent(ctx, func(now time.Time) {
		if addrErr == nil && c.core.IsBlank() {
			c.learnedAddresses[req.GetId()] = address
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

// clientOf returns an HTTP client that calls another process of the fleet with the fleet token.
func (c *Controller) clientOf(peer *dialer.Peer) *http.Client {
	return &http.Client{Transport: dialer.WithToken(peer, c.fleetToken)}
}

package dialer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// stallingDialer opens connections whose received data can be held back.
type stallingDialer struct {
	mu      sync.Mutex
	conns   []*stallingConn
	refuses bool
}

// stallingConn holds back received data until a time.
type stallingConn struct {
	net.Conn
	mu    sync.Mutex
	until time.Time
}

func (d *stallingDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	refuses := d.refuses
	d.mu.Unlock()
	if refuses {
		return nil, syscall.ECONNREFUSED
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &stallingConn{Conn: raw}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, c)
	return c, nil
}

// stall holds back the data of all open connections for some time and returns their number.
func (d *stallingDialer) stall(length time.Duration) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		c.mu.Lock()
		c.until = time.Now().Add(length)
		c.mu.Unlock()
	}
	return len(d.conns)
}

// Read implements net.Conn.
func (c *stallingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	wait := time.Until(c.until)
	c.mu.Unlock()
	time.Sleep(wait)
	return n, err
}

// stallingPeer returns a peer whose responses to all but pings take the given time.
func stallingPeer(t *testing.T, took time.Duration) (*Peer, *stallingDialer) {
	t.Helper()
	s, err := NewSecurity(nil, timer.New(), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	servers := &tomb.Tomb{}
	srv, err := s.ListenAndServe(servers, netip.MustParseAddrPort("127.0.0.1:0"), Peers,
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != PingPath {
				time.Sleep(took)
			}
			w.WriteHeader(http.StatusNoContent)
		}))
	if err != nil {
		t.Fatal(err)
	}
	d := &stallingDialer{}
	pool := NewPool(s, timer.New(), WithDial(d.dial))
	t.Cleanup(func() {
		pool.Close()
		_ = srv.Close()
		_ = servers.Wait()
	})
	return pool.Peer(srv.Addr()), d
}

// startRequest sends a request and returns once it is on its way. The channel receives its error.
func startRequest(t *testing.T, p *Peer) <-chan error {
	t.Helper()
	result := make(chan error, 1)
	group := &tomb.Tomb{}
	group.Go(func() error {
		resp, err := roundTrip(t, p, p)
		if err == nil {
			_ = resp.Body.Close()
		}
		result <- err
		return nil
	})
	t.Cleanup(func() { _ = group.Wait() })
	time.Sleep(20 * time.Millisecond)
	return result
}

// sendStalled sends a request while the connection's data is held back, and returns the error and the peer's number of connections.
func sendStalled(t *testing.T, p *Peer, d *stallingDialer, stall time.Duration) (int, error) {
	t.Helper()
	if resp, err := roundTrip(t, p, p); err == nil {
		_ = resp.Body.Close()
	} else {
		t.Fatal(err)
	}
	result := startRequest(t, p)
	if d.stall(stall) != 1 {
		t.Fatal("the first requests did not share one connection")
	}
	err := <-result
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns), err
}

// Lost packets delay a connection by several hundred milliseconds. A request that the peer works on must not be given up for
// that, as its caller would get a 502 although the response arrives.
func TestLateConnectionEndsRequests(t *testing.T) {
	p, d := stallingPeer(t, 100*time.Millisecond)
	conns, err := sendStalled(t, p, d, 900*time.Millisecond)
	if err != nil {
		t.Errorf("a request on a late connection failed: %v", err)
	}
	if conns < 2 {
		t.Error("later requests still wait for the late connection")
	}
}

// A stopping peer refuses new connections while it completes the requests on its open ones. A silent connection beside them must
// not end these requests.
func TestSilentConnectionEndsRequestsOfAnother(t *testing.T) {
	p, d := stallingPeer(t, 3500*time.Millisecond)
	result := startRequest(t, p)
	d.stall(900 * time.Millisecond)
	for {
		d.mu.Lock()
		replaced := len(d.conns) == 2
		d.mu.Unlock()
		if replaced {
			break
		}
		time.Sleep(time.Millisecond)
	}
	// The second connection has answered a ping and becomes silent.
	time.Sleep(50 * time.Millisecond)
	d.mu.Lock()
	d.refuses = true
	d.conns[1].mu.Lock()
	d.conns[1].until = time.Now().Add(20 * time.Second)
	d.conns[1].mu.Unlock()
	d.mu.Unlock()
	if err := <-result; err != nil {
		t.Errorf("a request that the peer completes failed: %v", err)
	}
}

// A connection can become silent for good, without a reset. Its requests must end although nothing reports an error.
func TestSilentConnectionHoldsRequests(t *testing.T) {
	p, d := stallingPeer(t, 100*time.Millisecond)
	if _, err := sendStalled(t, p, d, 20*time.Second); !errors.Is(err, ErrReplaced) {
		t.Errorf("a request on a silent connection ended with %v, want ErrReplaced", err)
	}
}

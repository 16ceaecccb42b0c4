package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	uploadBytes = 10 << 20
	// usualUploads and burstUploads are the requests with a large body that clients of one machine send at a time.
	usualUploads = 10
	burstUploads = 17
	// uploadTime is how long a client takes to send its body.
	uploadTime  = 2 * time.Second
	uploadParts = 40
	rounds      = 3
)

// pacedBody is a request body that a client sends in equal parts over uploadTime.
type pacedBody struct {
	left int
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.left, uploadBytes/uploadParts)
	time.Sleep(uploadTime * time.Duration(n) / uploadBytes)
	b.left -= n
	return n, nil
}

func init() { cases["upload"] = runUpload }

// runUpload checks that nodes stay within their memory while more clients than usual send large bodies.
func runUpload(layOut func(int, ...string) (*fleet, error), rec *record, trouble bool) (bool, error) {
	f, err := layOut(4, "front", "front", "sound", "sound")
	if err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	for i, m := range f.nodes {
		w, err := newWorker(m, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return false, err
		}
		defer w.close()
		w.beatAlways()
	}
	o := newOperator(f)
	doc := configuration(1, 0, []string{"front", "sound"}, []routeSpec{{"r-e", "/edit/", "non_idempotent", "sound"}})
	if _, ok := o.replace(doc, "r1", 15*time.Second); !ok {
		return false, errNoStart
	}
	time.Sleep(8 * time.Second)
	g := &guard{kills: map[string]int{}, peak: map[string]int{}}
	stop := make(chan struct{})
	var guards sync.WaitGroup
	for _, m := range f.nodes {
		guards.Go(func() { g.watch(m, stop) })
	}
	clients := usualUploads
	if trouble {
		clients = burstUploads
	}
	for n := range rounds {
		rec.add("round %d: %d clients on each of two machines send %d MB", n+1, clients, uploadBytes>>20)
		rec.add("round %d: clients got %v", n+1, uploadAtOnce(f, clients))
		time.Sleep(6 * time.Second)
	}
	close(stop)
	guards.Wait()
	rec.add("processes ended for memory over the limit: %v; peaks in MB: %v", g.kills, g.peak)
	ended := 0
	for _, n := range g.kills {
		if n >= 3 {
			ended++
		}
	}
	return ended >= 2, nil
}

// uploadAtOnce sends requests through two nodes and returns the number of answers by status.
func uploadAtOnce(f *fleet, each int) map[int]int {
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range 2 * each {
		clients.Go(func() {
			r := send(f.nodes[i%2], http.MethodPost, "/edit/", &pacedBody{left: uploadBytes})
			mu.Lock()
			defer mu.Unlock()
			statuses[r.status]++
		})
	}
	clients.Wait()
	return statuses
}

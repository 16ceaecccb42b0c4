package experimenter

import "gopkg.in/tomb.v2"

// group runs functions concurrently.
type group struct {
	tomb    tomb.Tomb
	started bool
}

func newGroup() *group {
	return &group{}
}

// start runs f in a goroutine. It must be called from one goroutine, before wait, and panics if all functions that were
// started earlier have returned.
func (g *group) start(f func()) {
	g.started = true
	g.tomb.Go(func() error {
		f()
		return nil
	})
}

// wait returns when all functions have returned.
func (g *group) wait() {
	if g.started {
		_ = g.tomb.Wait()
	}
}

package experimenter

import "gopkg.in/tomb.v2"

// group runs functions side by side.
type group struct {
	tomb    tomb.Tomb
	started bool
}

func newGroup() *group {
	return &group{}
}

// run starts a function. All functions are started before wait, from one goroutine, while another still runs or none
// has started.
func (g *group) run(f func()) {
	g.started = true
	g.tomb.Go(func() error {
		f()
		return nil
	})
}

// wait waits for all functions.
func (g *group) wait() {
	if g.started {
		_ = g.tomb.Wait()
	}
}

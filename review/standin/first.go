package main

import "time"

func init() { cases["first"] = runFirst }

// runFirst checks that the first acknowledged configuration can be read back after the host that acknowledged it lost its disk.
func runFirst(layOut func(int, ...string) (*fleet, error), rec *record, trouble bool) (bool, error) {
	f, err := layOut(4, "front", "front")
	if err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	for i, m := range f.nodes {
		w, err := newWorker(m, []string{"i-1", "i-2"}[i])
		if err != nil {
			return false, err
		}
		defer w.close()
		w.beatAlways()
	}
	routes := []routeSpec{{"r-a", "/read/", "idempotent", "front"}}
	o := newOperator(f)
	a, ok := o.replace(configuration(1, 0, []string{"front"}, routes), "r1", 15*time.Second)
	if !ok {
		return false, errNoStart
	}
	if trouble {
		m := f.machineAt(a.host)
		m.kill()
		if err := m.wipe(); err != nil {
			return false, err
		}
		time.Sleep(restartPause)
		if err := m.start(); err != nil {
			return false, err
		}
		rec.add("all machines are back")
	}
	time.Sleep(recoveryS * time.Second)
	served := serveFor(f, rec, 3*time.Second, "after the time for recovery")
	version, _, ok := o.read(3 * contactS * time.Second)
	_, accepted := o.replace(configuration(2, 1, []string{"front"}, routes), "r2", 5*time.Second)
	rec.add("read back: %v %s, further change accepted: %v, requests served: %d", ok, version, accepted, served)
	return !ok || version != "r1", nil
}

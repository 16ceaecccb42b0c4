package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// guard is the part of the platform that kills a process that uses more memory than its settings allow, and starts it again.
type guard struct {
	mu    sync.Mutex
	kills map[string]int
	peak  map[string]int
}

// watch checks a machine's process every 20 ms until stop is closed.
func (g *guard) watch(m *machine, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		mb := residentMb(m.pid())
		g.mu.Lock()
		g.peak[m.name] = max(g.peak[m.name], mb)
		g.mu.Unlock()
		if mb <= m.memoryLimit() {
			continue
		}
		m.say("uses %d MB, over its limit of %d MB", mb, m.memoryLimit())
		m.kill()
		g.mu.Lock()
		g.kills[m.name]++
		g.mu.Unlock()
		time.Sleep(restartPause)
		if err := m.start(); err != nil {
			m.say("did not start: %v", err)
			return
		}
	}
}

// residentMb returns the resident memory of a process in MB, or zero if it has ended.
func residentMb(pid int) int {
	if pid == 0 {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

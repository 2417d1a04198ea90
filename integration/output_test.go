package integration_test

import (
	"fmt"
	"slices"
	"strings"
)

// maxOutputLines bounds the lines of the output of a process that are kept.
const maxOutputLines = 20000

// output returns the lines that the process has written so far.
func (p *process) output() []string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return slices.Clone(p.lines)
}

func (p *process) keepLine(l string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if len(p.lines) < maxOutputLines {
		p.lines = append(p.lines, l)
	}
}

// quarantineLog returns the lines about quarantined prompts that the daemons have logged, in order for each process.
func (f *crashFleet) quarantineLog() string {
	var b strings.Builder

	for _, e := range f.daemonProcesses {
		for _, l := range e.process.output() {
			if strings.Contains(l, `"prompt_quarantined"`) || strings.Contains(l, `"quarantine_`) {
				fmt.Fprintf(&b, "%s: %s\n", e.vm, l)
			}
		}
	}

	return b.String()
}

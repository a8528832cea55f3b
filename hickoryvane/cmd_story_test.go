package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

const logA = `time=2026-12-04T09:00:01Z level=info msg="request placed" event=405 id=r1 target=t1
time=2026-12-04T09:00:01.5Z level=info msg="request placed" event=405 id=r2 target=t1
time=2026-12-04T09:00:02Z level=info msg="request ended" event=406 id=r1 target=t1 end=lost
not a line of ours
`

const logB = `  12.5 front-a-1 time=2026-12-04T09:00:01.9Z level=info msg="target is no longer registered" event=506 target=t1
time=2026-12-04T09:00:01.9Z level=info msg="target is no longer registered" event=506 target=t9
time=2026-12-04T09:00:00Z level=warn msg="object API is not available" event=303 sort=servers
time=2026-12-04T08:00:00Z level=warn msg="object API is not available" event=303 sort=servers
`

// Guards against a story that omits another process's line about the request's target or the store, or that has lines
// of other requests, other targets or other times.
func TestStoryJoinsTheLogsOfAllProcesses(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	g.Expect(os.WriteFile(a, []byte(logA), 0o600)).To(Succeed())
	g.Expect(os.WriteFile(b, []byte(logB), 0o600)).To(Succeed())
	var out bytes.Buffer
	g.Expect(newTool(&out, &out).run(t.Context(), []string{"story", "r1", a, b})).To(Equal(0))
	g.Expect(out.String()).To(Equal(`time=2026-12-04T09:00:00Z level=warn msg="object API is not available" event=303 sort=servers
time=2026-12-04T09:00:01Z level=info msg="request placed" event=405 id=r1 target=t1
12.5 front-a-1 time=2026-12-04T09:00:01.9Z level=info msg="target is no longer registered" event=506 target=t1
time=2026-12-04T09:00:02Z level=info msg="request ended" event=406 id=r1 target=t1 end=lost
`))
	out.Reset()
	g.Expect(newTool(&out, &out).run(t.Context(), []string{"story", "r7", a})).To(Equal(exitFailed))
	g.Expect(out.String()).To(ContainSubstring("no line names the request"))
}

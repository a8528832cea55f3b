package event_test

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/event"
)

// page is the list of events for operators.
const page = "../../docs/EVENTS.md"

// row matches one event of the page: number, level, text, meaning, action.
var row = regexp.MustCompile(`(?m)^\| (\d{3}) \| (\w+) \| ([^|]+) \| ([^|]+) \| ([^|]+) \|$`)

// Guards against a page that lacks an event, or states another level or text than the log shows.
func TestPageListsAllEvents(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile(page)
	g.Expect(err).NotTo(HaveOccurred())
	var listed []event.Kind
	var levels []string
	for _, m := range row.FindAllStringSubmatch(string(text), -1) {
		n, err := strconv.Atoi(m[1])
		g.Expect(err).NotTo(HaveOccurred())
		listed = append(listed, event.Kind{ID: event.ID(n), Text: m[3]})
		levels = append(levels, m[2])
	}
	var want []event.Kind
	var wantLevels []string
	for _, k := range event.Kinds() {
		want = append(want, event.Kind{ID: k.ID, Text: k.Text})
		wantLevels = append(wantLevels, k.Level.String())
	}
	g.Expect(listed).To(Equal(want))
	g.Expect(levels).To(Equal(wantLevels))
}

// Guards against two events with the same number, numbers out of order, and events without a text.
func TestNumbersAreUniqueAndOrdered(t *testing.T) {
	g := NewWithT(t)
	last := event.ID(0)
	for _, k := range event.Kinds() {
		g.Expect(k.ID).To(BeNumerically(">", last))
		g.Expect(k.Text).NotTo(BeEmpty())
		last = k.ID
	}
}

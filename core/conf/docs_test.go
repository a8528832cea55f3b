package conf_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
)

// rule returns the last cell of the row of a key in docs/CONFIG.md.
func ruleCell(f conf.Field) string {
	var parts []string
	add := func(ok bool, text string) {
		if ok {
			parts = append(parts, text)
		}
	}
	add(f.Required, "required")
	add(f.SetBy != "", "written by "+f.SetBy+", not allowed in files")
	add(f.Limit != "", f.Limit)
	add(f.Format != "", f.Format)
	add(f.OneOf != "", "one of "+strings.ReplaceAll(f.OneOf, " ", ", "))
	return strings.Join(parts, "; ")
}

// rows returns the cells of the table under a heading by their key.
func tableRows(page, heading string) map[string][]string {
	_, rest, _ := strings.Cut(page, "\n## "+heading+"\n")
	section, _, _ := strings.Cut(rest, "\n## ")
	table := map[string][]string{}
	for line := range strings.Lines(section) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if key, ok := strings.CutPrefix(cells[0], "`"); ok && strings.HasPrefix(line, "|") {
			table[strings.TrimSuffix(key, "`")] = cells[1:]
		}
	}
	return table
}

// Guards against a page that does not say what the code does: a missing key, or another unit, default or limit.
func TestConfigPageMatchesTheCode(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "CONFIG.md"))
	g.Expect(err).NotTo(HaveOccurred())
	for heading, v := range map[string]any{
		"Declarations": conf.Config{}, "Router": conf.Router{}, "Direct": conf.Direct{}, "Agent": conf.Agent{}, "Operator": conf.Operator{}, "Stand-in": conf.Standin{},
	} {
		table := tableRows(string(page), heading)
		fields := conf.Fields(v)
		g.Expect(table).To(HaveLen(len(fields)), heading)
		for _, f := range fields {
			g.Expect(table).To(HaveKey(f.Key), heading)
			cells := table[f.Key]
			g.Expect(cells).To(HaveLen(4), f.Key)
			g.Expect(cells[0]).NotTo(BeEmpty(), f.Key)
			g.Expect(cells[1:]).To(Equal([]string{f.Unit, f.Default, ruleCell(f)}), f.Key)
		}
	}
}

// Guards against examples with faults, and against sizes that are not those of the two deployments.
func TestExamples(t *testing.T) {
	g := NewWithT(t)
	examples := filepath.Join("..", "..", "examples")
	for name, targets := range map[string]int{"rekkverk": 23, "brunner": 13} {
		cfg, problems := conf.Load(filepath.Join(examples, name))
		g.Expect(problems).To(BeEmpty())
		g.Expect(cfg.Accounts).To(HaveLen(5))
		g.Expect(len(cfg.Tiers)).To(BeNumerically(">=", 3))
		g.Expect(cfg.Targets).To(HaveLen(targets))
		set, problems := conf.ReadSettings[conf.Operator](filepath.Join(examples, name, "settings", "operator.json"))
		g.Expect(problems).To(BeEmpty())
		g.Expect(set.Deployment).To(Equal(cfg.Deployment))
	}
}

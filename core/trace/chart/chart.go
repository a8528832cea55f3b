// Package chart draws the result of a replay as SVG files.
package chart

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"hickoryvane.example/core/trace"
)

// Size of a plot.
const (
	width  = 8 * vg.Inch
	height = 4 * vg.Inch
)

// Write writes table.txt, goodput.svg, wait.svg and, if the trace has moves, share.svg into dir, which is
// created if needed.
func Write(dir string, h *trace.Header, r *trace.Result) (err error) {
	defer func() { err = errors.WithMessage(err, "write report") }()
	if err = os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "table.txt"))
	if err != nil {
		return err
	}
	if err = errors.WithMessage(h.Print(f, r), "table.txt"); err != nil {
		_ = f.Close()
		return err
	}
	if err = f.Close(); err != nil {
		return err
	}
	if err = draw(dir, "goodput.svg", "share of requests answered in time", goodput(r)); err != nil {
		return err
	}
	if err = draw(dir, "wait.svg", "mean time to the first token in s", wait(r)); err != nil {
		return err
	}
	if len(r.Moves) == 0 {
		return nil
	}
	return draw(dir, "share.svg", "share of the new version", share(r))
}

// series is a named line; points without a value are left out.
type series struct {
	name string
	xys  plotter.XYs
}

func (s *series) add(t trace.Slice, value float64, ok bool) {
	if ok {
		s.xys = append(s.xys, plotter.XY{X: t.Start.Seconds(), Y: value})
	}
}

func goodput(r *trace.Result) []series {
	return byTier(r, func(s trace.Slice, i int) (float64, bool) {
		return float64(s.Good[i]) / float64(max(1, s.Sent[i])), s.Sent[i] > 0
	})
}

func wait(r *trace.Result) []series {
	return byTier(r, func(s trace.Slice, i int) (float64, bool) { return s.Wait[i].Seconds(), s.Wait[i] > 0 })
}

func byTier(r *trace.Result, value func(trace.Slice, int) (float64, bool)) []series {
	list := make([]series, len(r.Tiers))
	for i, t := range r.Tiers {
		list[i].name = t.Name
		for _, s := range r.Slices {
			v, ok := value(s, i)
			list[i].add(s, v, ok)
		}
	}
	return list
}

func share(r *trace.Result) []series {
	list := []series{{name: "new version"}}
	for _, s := range r.Slices {
		list[0].add(s, float64(s.Trial)/float64(max(1, s.All)), s.All > 0)
	}
	return list
}

func draw(dir, name, title string, list []series) (err error) {
	defer func() { err = errors.WithMessage(err, name) }()
	p := plot.New()
	p.Title.Text, p.X.Label.Text = title, "arrival in s"
	p.Y.Min, p.Legend.Top = 0, true
	p.Add(plotter.NewGrid())
	for i, s := range list {
		if len(s.xys) == 0 {
			continue
		}
		l, err := plotter.NewLine(s.xys)
		if err != nil {
			return err
		}
		l.Color, l.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(s.name, l)
	}
	return p.Save(width, height, filepath.Join(dir, name))
}

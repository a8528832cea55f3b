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
	if err = errors.WithMessage(h.WriteTables(f, r), "table.txt"); err != nil {
		_ = f.Close()
		return err
	}
	if err = f.Close(); err != nil {
		return err
	}
	if err = drawSVG(dir, "goodput.svg", "share of requests answered in time", goodputSeries(r)); err != nil {
		return err
	}
	if err = drawSVG(dir, "wait.svg", "mean time to the first token in s", waitSeries(r)); err != nil {
		return err
	}
	if len(r.Rollouts) == 0 {
		return nil
	}
	return drawSVG(dir, "share.svg", "share of the new version", newVersionSeries(r))
}

// series is a named line; points without a value are left out.
type series struct {
	name   string
	points plotter.XYs
}

func (s *series) addPoint(t trace.Interval, value float64, ok bool) {
	if ok {
		s.points = append(s.points, plotter.XY{X: t.Start.Seconds(), Y: value})
	}
}

func goodputSeries(r *trace.Result) []series {
	return seriesByTier(r, func(s trace.Interval, i int) (float64, bool) {
		return float64(s.Good[i]) / float64(max(1, s.Sent[i])), s.Sent[i] > 0
	})
}

func waitSeries(r *trace.Result) []series {
	return seriesByTier(r, func(s trace.Interval, i int) (float64, bool) { return s.Wait[i].Seconds(), s.Wait[i] > 0 })
}

func seriesByTier(r *trace.Result, value func(trace.Interval, int) (float64, bool)) []series {
	list := make([]series, len(r.Tiers))
	for i, t := range r.Tiers {
		list[i].name = t.Name
		for _, s := range r.Intervals {
			v, ok := value(s, i)
			list[i].addPoint(s, v, ok)
		}
	}
	return list
}

func newVersionSeries(r *trace.Result) []series {
	list := []series{{name: "new version"}}
	for _, s := range r.Intervals {
		list[0].addPoint(s, float64(s.NewVersion)/float64(max(1, s.AllVersions)), s.AllVersions > 0)
	}
	return list
}

func drawSVG(dir, name, title string, list []series) (err error) {
	defer func() { err = errors.WithMessage(err, name) }()
	p := plot.New()
	p.Title.Text, p.X.Label.Text = title, "arrival in s"
	p.Y.Min, p.Legend.Top = 0, true
	p.Add(plotter.NewGrid())
	for i, s := range list {
		if len(s.points) == 0 {
			continue
		}
		l, err := plotter.NewLine(s.points)
		if err != nil {
			return err
		}
		l.Color, l.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(s.name, l)
	}
	return p.Save(width, height, filepath.Join(dir, name))
}

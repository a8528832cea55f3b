package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"hickoryvane.example/bench/load"
	"hickoryvane.example/bench/plan"
)

// loadFlags are the flags of bench load.
type loadFlags struct {
	routers, standins, mix, trace, keys, minGoodput, reportFile string
	count, inflight                                             int
	scale                                                       float64
	duration, drain                                             time.Duration
	quiet                                                       bool
}

func cmdLoad(s streams) *ff.Command {
	f := &loadFlags{}
	fs := ff.NewFlagSet("load")
	fs.StringVar(&f.routers, 0, "routers", "", "routers as IP:PORT,...")
	fs.StringVar(&f.standins, 0, "standins", "", "stand-ins whose GET /runs is read, as IP:PORT,...")
	fs.StringVar(&f.mix, 0, "mix", "", "mix file (JSON with comments)")
	fs.StringVar(&f.trace, 0, "trace", "", "trace whose arrivals are sent, instead of a mix")
	fs.StringVar(&f.keys, 0, "keys", "", "keys of the accounts of a trace, as ACCOUNT=KEY,...; key-ACCOUNT if not listed")
	fs.StringVar(&f.minGoodput, 0, "want", "", "least goodput by tier, as TIER=SHARE,...")
	fs.StringVar(&f.reportFile, 0, "json", "", "write the report as JSON to this file")
	fs.IntVar(&f.count, 0, "count", 10000, "largest number of requests")
	fs.IntVar(&f.inflight, 0, "inflight", 4096, "largest number of requests at a time")
	fs.Float64Var(&f.scale, 0, "scale", 1, "factor for all rates")
	fs.DurationVar(&f.duration, 0, "time", 30*time.Second, "end of arrivals")
	fs.DurationVar(&f.drain, 0, "drain", time.Minute, "time for answers after the last arrival")
	fs.BoolVar(&f.quiet, 0, "quiet", "no progress on the terminal")
	return &ff.Command{
		Name: "load", Usage: "bench load --routers IP:PORT,... --mix FILE [FLAGS]",
		ShortHelp: "send open-loop load to routers and judge the answers", Flags: fs,
		Exec: func(ctx context.Context, _ []string) error { return f.run(ctx, s) },
	}
}

func (f *loadFlags) run(ctx context.Context, s streams) (err error) {
	requests, promises, err := f.readInput()
	if err != nil {
		return err
	}
	r := load.NewRunner(load.NewClient(f.inflight), strings.Split(f.routers, ","),
		load.WithMaxInflight(f.inflight), load.WithDrain(f.drain), load.WithProgress(f.progressFunc(s)))
	results, skipped := r.Run(ctx, requests)
	var runs map[string]int
	if f.standins != "" {
		if runs, err = load.FetchRuns(ctx, strings.Split(f.standins, ",")); err != nil {
			return err
		}
	}
	rep := load.NewReport(results, skipped, runs)
	broken := rep.CheckPromises(promises)
	if err = f.writeReport(s, rep); err != nil {
		return err
	}
	if len(broken) > 0 {
		return errors.Errorf("%d broken promises", len(broken))
	}
	return nil
}

func (f *loadFlags) readInput() (requests []plan.Request, p load.Promises, err error) {
	if f.routers == "" || (f.mix == "") == (f.trace == "") {
		return nil, p, errors.Wrap(errInvalidSetting, "--routers and either --mix or --trace are needed")
	}
	if f.inflight < 1 {
		return nil, p, errors.Wrap(errInvalidSetting, "--inflight must be at least 1")
	}
	if p.MinGoodput, err = parseMinGoodput(f.minGoodput); err != nil {
		return nil, p, err
	}
	if requests, err = f.planRequests(); err != nil {
		return nil, p, errors.Wrap(errInvalidSetting, err.Error())
	}
	return requests, p, nil
}

func (f *loadFlags) planRequests() ([]plan.Request, error) {
	b := plan.Bounds{MaxRequests: f.count, Duration: f.duration, RateScale: f.scale}
	if f.trace != "" {
		keys := map[string]string{}
		for pair := range strings.SplitSeq(f.keys, ",") {
			account, key, _ := strings.Cut(pair, "=")
			keys[account] = key
		}
		return plan.ReadTrace(f.trace, keys, b)
	}
	m, err := plan.ReadMix(f.mix)
	if err != nil {
		return nil, err
	}
	return m.Requests(b), nil
}

func parseMinGoodput(s string) (m map[string]float64, err error) {
	m = map[string]float64{}
	if s == "" {
		return m, nil
	}
	for pair := range strings.SplitSeq(s, ",") {
		tier, value, _ := strings.Cut(pair, "=")
		if m[tier], err = strconv.ParseFloat(value, 64); err != nil {
			return nil, errors.Wrapf(errInvalidSetting, "--want %s: %v", pair, err)
		}
	}
	return m, nil
}

func (f *loadFlags) progressFunc(s streams) func(load.Progress) {
	if f.quiet {
		return func(load.Progress) {}
	}
	return func(p load.Progress) {
		fmt.Fprintf(s.err, "%4.0f s  sent %d of %d, running %d, whole %d, refused %d, other %d\n",
			p.Elapsed.Seconds(), p.Sent, p.Planned, p.Running, p.Complete, p.Refused, p.Other)
	}
}

func (f *loadFlags) writeReport(s streams, rep *load.Report) error {
	if f.reportFile != "" {
		b, err := json.MarshalIndent(rep, "", "\t")
		if err != nil {
			return errors.WithMessage(err, "encode report")
		}
		if err = os.WriteFile(f.reportFile, append(b, '\n'), 0o644); err != nil {
			return errors.WithMessage(err, "write report")
		}
	}
	return rep.WriteTables(s.out)
}

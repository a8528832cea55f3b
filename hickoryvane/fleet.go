package main

import (
	"context"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
)

// askTime bounds one question to a process, which answers from memory.
const statusTimeout = 2 * time.Second

// report is the answer of one process.
type statusReport struct {
	addr   string
	status conf.Status
	err    error
}

// askAll returns the status of each process, in the order of the addresses.
func fetchStatuses(ctx context.Context, addrs []string) []statusReport {
	return forEach(ctx, addrs, func(ctx context.Context, addr string) statusReport {
		s, err := fetchStatus(ctx, addr)
		return statusReport{addr: addr, status: s, err: err}
	})
}

// answered returns the statuses of the processes that answered.
func answeredStatuses(reports []statusReport) (list []conf.Status) {
	for _, r := range reports {
		if r.err == nil {
			list = append(list, r.status)
		}
	}
	return list
}

// ask returns the status of the process at an admin address.
func fetchStatus(ctx context.Context, addr string) (s conf.Status, err error) {
	defer func() { err = errors.WithMessagef(err, "ask %s", addr) }()
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := sling.New().Base("http://" + addr).Get(conf.StatusPath).Request()
	if err != nil {
		return s, err
	}
	resp, err := sling.New().Do(req.WithContext(ctx), &s, nil)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.New(resp.Status)
	}
	return s, err
}

// each calls f for all addresses at once and returns the results in their order. The settings bound the
// number of addresses.
func forEach[T any](ctx context.Context, addrs []string, f func(context.Context, string) T) []T {
	ended := make(chan struct{})
	list := make([]T, len(addrs))
	for i, addr := range addrs {
		go func() {
			list[i] = f(ctx, addr)
			ended <- struct{}{}
		}()
	}
	for range addrs {
		<-ended
	}
	return list
}

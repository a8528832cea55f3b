package main

import (
	"context"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
)

// statusTimeout bounds one status request. Processes answer it from memory.
const statusTimeout = 2 * time.Second

// statusReport is the status of one process, or the error of its request.
type statusReport struct {
	addr   string
	status conf.Status
	err    error
}

// fetchStatuses requests the status of all processes concurrently. The reports are in the order of the addresses.
func fetchStatuses(ctx context.Context, addrs []string) []statusReport {
	return forEach(ctx, addrs, func(ctx context.Context, addr string) statusReport {
		s, err := fetchStatus(ctx, addr)
		return statusReport{addr: addr, status: s, err: err}
	})
}

// answeredStatuses returns the statuses of the processes that answered.
func answeredStatuses(reports []statusReport) (list []conf.Status) {
	for _, r := range reports {
		if r.err == nil {
			list = append(list, r.status)
		}
	}
	return list
}

// fetchStatus requests the status of the process with the admin address addr.
func fetchStatus(ctx context.Context, addr string) (s conf.Status, err error) {
	defer func() { err = errors.WithMessagef(err, "request status of %s", addr) }()
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

// forEach calls f concurrently for all addresses and returns the results in the order of the addresses. The number
// of goroutines is bounded by the limit that the settings put on the number of addresses.
func forEach[T any](ctx context.Context, addrs []string, f func(context.Context, string) T) []T {
	done := make(chan struct{})
	list := make([]T, len(addrs))
	for i, addr := range addrs {
		go func() {
			list[i] = f(ctx, addr)
			done <- struct{}{}
		}()
	}
	for range addrs {
		<-done
	}
	return list
}

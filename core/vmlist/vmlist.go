// Package vmlist reads the platform's list of live and leaving VMs. The list lags behind the actual state.
package vmlist

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"hickoryvane.example/core/fetch"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/loose"
)

const (
	// listTimeout bounds one read of the list.
	listTimeout = 2 * time.Second
	// listBytesMax bounds the answer; a longer one is refused. It allows 4 kB for each of 1,000 VMs.
	listBytesMax = 4 << 20
)

// ErrUnavailable means that the list cannot be read; the list that was read before stays valid.
var ErrUnavailable = errors.New("VM list is not available")

// State is the state of a VM as the platform reports it.
type State string

// States.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one entry of the list.
type VM struct {
	// Name is the process id of the process on the VM.
	Name ident.ProcessID `json:"vm"`
	// Address is the IP number and port of that process.
	Address string           `json:"address"`
	Role    string           `json:"role"`
	Centre  ident.DataCentre `json:"centre"`
	State   State            `json:"state"`
}

// Source is a list of VMs.
type Source interface {
	// List returns all VMs that the platform lists, or an error that wraps ErrUnavailable.
	List(ctx context.Context) ([]VM, error)
}

// HTTP is a Source that reads the list over HTTP.
type HTTP struct {
	base    *sling.Sling
	client  *http.Client
	timeout time.Duration
}

// Option sets one property of an HTTP source.
type Option func(*HTTP)

// WithTimeout sets the time in which the answer to a read of the list has to begin.
func WithTimeout(d time.Duration) Option { return func(h *HTTP) { h.timeout = d } }

// NewHTTP returns the source at addr (IP number and port).
func NewHTTP(addr string, opts ...Option) *HTTP {
	h := &HTTP{
		base:    sling.New().Base("http://" + addr).Get("/vms"),
		client:  &http.Client{Transport: &http.Transport{IdleConnTimeout: time.Minute}},
		timeout: listTimeout,
	}
	for _, f := range opts {
		f(h)
	}
	return h
}

// List implements Source.
func (h *HTTP) List(ctx context.Context) (vms []VM, err error) {
	defer func() { err = errors.WithMessage(err, "list VMs") }()
	req, err := h.base.New().Request()
	if err != nil {
		return nil, err
	}
	res, b, err := fetch.Do(h.client, req.WithContext(ctx), fetch.Limits{Head: h.timeout, Bytes: listBytesMax})
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	if res.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "status %d", res.StatusCode)
	}
	return parse(b)
}

// parse reads a list. One invalid entry must not hide the others: an entry without a name or without a valid IP
// address and port is dropped, because nothing can be sent to it, and an unknown state counts as leaving, because
// a VM that gets no new requests does no harm.
func parse(b []byte) (vms []VM, err error) {
	all, err := loose.Elements(b)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	for _, e := range all {
		var v VM
		if json.Unmarshal(e, &v) != nil || v.Name == "" {
			continue
		}
		if a, err := netip.ParseAddrPort(v.Address); err != nil || a.Port() == 0 {
			continue
		}
		if v.State != Live {
			v.State = Leaving
		}
		vms = append(vms, v)
	}
	return vms, nil
}

package wire_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// Guards against a message type whose fields are lost in transport.
func TestEncodeDecodeKeepsFields(t *testing.T) {
	g := NewWithT(t)
	in := &wire.Offer{ID: "r1", Tier: 2, WaitMillis: 670, Blocks: []ident.Block{1, 2}, Keyed: true}
	b, err := wire.Encode(in)
	g.Expect(err).NotTo(HaveOccurred())
	out, err := wire.Decode(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal(in))
}

// Guards against a daemon that crashes on, or accepts, malformed input.
func FuzzDecode(f *testing.F) {
	b, _ := wire.Encode(&wire.Offer{ID: "r1", Blocks: []ident.Block{1}})
	f.Add(b)
	f.Add([]byte{0x82, 0x01, 0x9f})
	f.Fuzz(func(_ *testing.T, b []byte) {
		if m, err := wire.Decode(b); err == nil {
			_, _ = wire.Encode(m)
		}
	})
}

// Guards against a process of another deployment, or without the key, that joins.
func TestHandshakeRejectsWrongKeyOrDeployment(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := wire.Accept(ctx, w, r, wire.Auth{Deployment: "d", Key: []byte("k")}, wire.Hello{Process: "server"}, nil)
		if err != nil {
			return
		}
		m, err := c.Recv(ctx)
		if err == nil {
			_ = c.Send(m)
		}
		<-c.Done()
	}))
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")

	_, err := wire.Dial(ctx, addr, wire.Auth{Deployment: "d", Key: []byte("wrong")}, wire.Hello{Process: "x"}, nil)
	g.Expect(err).To(HaveOccurred())
	_, err = wire.Dial(ctx, addr, wire.Auth{Deployment: "other", Key: []byte("k")}, wire.Hello{Process: "x"}, nil)
	g.Expect(err).To(HaveOccurred())

	c, err := wire.Dial(ctx, addr, wire.Auth{Deployment: "d", Key: []byte("k")}, wire.Hello{Process: "x"}, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Peer().Process).To(Equal(ident.ProcessID("server")))
	g.Expect(c.Send(&wire.Cancel{ID: "r1"})).To(Succeed())
	m, err := c.Recv(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m).To(Equal(&wire.Cancel{ID: "r1"}))
	c.Close()
	<-c.Done()
	cancel()
}

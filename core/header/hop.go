// Package header holds rules for the headers of requests and answers that a reverse proxy forwards.
package header

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders are the hop-by-hop headers.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHop removes hop-by-hop headers, including those named by the Connection headers of from.
func StripHop(h, from http.Header) {
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); name != "" {
				delete(h, name)
			}
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

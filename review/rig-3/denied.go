package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["denied"] = denied }

// deniedCount is the number of requests, one at a time.
const deniedCount = 40

// denied sends proper requests whose header section is within the limit of the configuration and has many short lines.
func denied(r *rig) error {
	r.store.put("config", "main", config(7))
	e, err := r.startEngine("desk1", "desk", "west-a", 6, func(request) answer {
		return answer{status: http.StatusOK, body: "ok", work: 20 * time.Millisecond}
	})
	if err != nil {
		return err
	}
	p, err := r.readyRouter("front-1")
	if err != nil {
		return err
	}
	refused := 0
	for i := range deniedCount {
		path, method := "/safe/x", http.MethodGet
		if i%2 == 1 {
			path, method = "/unsafe/x", http.MethodPost
		}
		head := strings.TrimSuffix(plainRequest(method, path, fmt.Sprintf("d%03d", i)), "\r\n")
		lines := 0
		if r.trouble {
			for line := ""; len(head)+len(line)+2 <= headerBytes-100; lines++ {
				head += line
				line = fmt.Sprintf("x%x:%x\r\n", lines, lines%16) // white space after the colon is optional (RFC 9110)
			}
		}
		text := head + "\r\n"
		got := send(p.listen, text, 3*time.Second)
		r.note("%s %s with a header section of %d bytes (limit %d), %d short lines: %s", method, path, len(text), headerBytes, lines, status(got))
		if got.err == nil && got.status >= 300 && got.status < 500 && got.status != 408 && got.status != 421 && got.status != 429 {
			refused++
		}
		time.Sleep(50 * time.Millisecond)
	}
	allowed := 5 + float64(deniedCount)/500
	r.note("%d of %d requests were refused with a 4xx, %d reached the engine; more than %.1f break DENIED", refused, deniedCount, e.arrivalsBetween(r.began, time.Now()), allowed)
	if float64(refused) > allowed {
		return fmt.Errorf("%w: DENIED, %d of %d proper requests were refused with a 4xx", errBroken, refused, deniedCount)
	}
	return nil
}

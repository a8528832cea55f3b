// Package loose splits JSON into its parts without decoding them, so that one part that cannot be decoded does not
// hide the others. Nesting is counted rather than followed, so that no depth of it is too much.
package loose

import (
	"bufio"
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// ErrSyntax means that the parts of a value cannot be told apart.
var ErrSyntax = errors.New("parts of the JSON value cannot be told apart")

// ErrTooLarge means that a value is larger than the limit of its reader.
var ErrTooLarge = errors.New("JSON value is too large")

// scanner finds the end of one value.
type scanner struct {
	depth                    int
	begun, inString, escaped bool
}

// step takes the next byte. done is true if the value ends before c, or with c if taken is true.
func (s *scanner) step(c byte) (done, taken bool) {
	switch {
	case s.inString:
		switch {
		case s.escaped:
			s.escaped = false
		case c == '\\':
			s.escaped = true
		case c == '"':
			s.inString = false
			return s.depth == 0, true
		}
		return false, true
	case isSpace(c):
		return s.begun && s.depth == 0, !s.begun || s.depth > 0
	}
	switch c {
	case '"':
		if s.begun && s.depth == 0 {
			return true, false
		}
		s.inString = true
	case '{', '[':
		if s.begun && s.depth == 0 {
			return true, false
		}
		s.depth++
	case '}', ']':
		if s.depth == 0 {
			return true, false
		}
		s.depth--
		return s.depth == 0, true
	case ',', ':':
		if s.depth == 0 {
			return true, false
		}
	}
	s.begun = true
	return false, true
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

// cut returns the value at the beginning of b, and what follows it.
func cut(b []byte) (value, rest []byte, err error) {
	b = bytes.TrimLeft(b, " \t\r\n")
	var s scanner
	for i, c := range b {
		done, taken := s.step(c)
		if !done {
			continue
		}
		if taken {
			i++
		}
		if i == 0 {
			break
		}
		return b[:i], b[i:], nil
	}
	if s.depth > 0 || s.inString || len(b) == 0 || !s.begun {
		return nil, nil, ErrSyntax
	}
	return b, nil, nil
}

// Elements returns the elements of an array, undecoded.
func Elements(b []byte) (out [][]byte, err error) {
	err = parts(b, '[', ']', func(b []byte) (rest []byte, err error) {
		v, rest, err := cut(b)
		out = append(out, v)
		return rest, err
	})
	return out, err
}

// Members returns the values of an object by key, undecoded. Of several values of one key, the last counts.
func Members(b []byte) (out map[string][]byte, err error) {
	out = map[string][]byte{}
	err = parts(b, '{', '}', func(b []byte) (rest []byte, err error) {
		k, rest, err := cut(b)
		if err != nil {
			return nil, err
		}
		rest, colon := bytes.CutPrefix(bytes.TrimLeft(rest, " \t\r\n"), []byte(":"))
		var key string
		if !colon || json.Unmarshal(k, &key) != nil {
			return nil, ErrSyntax
		}
		out[key], rest, err = cut(rest)
		return rest, err
	})
	return out, err
}

// parts calls f for the rest of an array or object at each of its parts; f returns what follows the part.
func parts(b []byte, begin, end byte, f func(b []byte) (rest []byte, err error)) (err error) {
	b = bytes.TrimSpace(b)
	if len(b) < 2 || b[0] != begin || b[len(b)-1] != end {
		return ErrSyntax
	}
	b = bytes.TrimSpace(b[1 : len(b)-1])
	for len(b) > 0 {
		if b, err = f(b); err != nil {
			return err
		}
		if b = bytes.TrimSpace(b); len(b) == 0 {
			return nil
		}
		if b[0] != ',' || len(bytes.TrimSpace(b[1:])) == 0 {
			return ErrSyntax
		}
		b = b[1:]
	}
	return nil
}

// ReadValue reads the next value of a sequence, undecoded. It returns io.EOF at the end of the sequence, and
// ErrTooLarge after limit bytes.
func ReadValue(r *bufio.Reader, limit int) (value []byte, err error) {
	var s scanner
	for {
		c, err := r.ReadByte()
		if err != nil {
			return nil, err
		}
		done, taken := s.step(c)
		if taken && (s.begun || !isSpace(c)) {
			value = append(value, c)
		}
		switch {
		case done && len(value) > 0:
			if !taken {
				_ = r.UnreadByte() // it was just read
			}
			return value, nil
		case done:
			return nil, ErrSyntax
		case len(value) > limit:
			return nil, ErrTooLarge
		}
	}
}

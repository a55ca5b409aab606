package pipeline

import (
	"bytes"
	"strconv"
	"strings"
)

// maxPartialBytes bounds the part of a request's head that is kept while the rest of it
// is still to come, to find its end.
const maxPartialBytes = 8 << 10

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// methods holds the methods of requests whose end is found. It says which are safe.
var methods = map[string]bool{
	"GET": true, "HEAD": true, "OPTIONS": true, "TRACE": true,
	"POST": false, "PUT": false, "DELETE": false, "PATCH": false,
}

// head describes the head of one request.
type head struct {
	// bytes is the length of the head, and bodyBytes that of the body.
	bytes, bodyBytes int
	// safe is set if the method is safe and there is no body.
	safe bool
}

// parseHead reads a complete head, which ends with headEnd. It returns false for a head that
// net/http might frame in another way or after which the connection does not go on: such as
// one with a transfer coding, with bare line feeds or with Connection: close. It is stricter
// than net/http, so that the two never disagree about where a request ends.
func parseHead(b []byte) (head, bool) {
	line, fields, _ := bytes.Cut(b[:len(b)-2], []byte("\r\n"))
	safe, ok := parseRequestLine(line)
	if !ok {
		return head{}, false
	}
	h := head{bytes: len(b), safe: safe}
	lengthSeen := false
	for len(fields) > 0 {
		line, fields, _ = bytes.Cut(fields, []byte("\r\n"))
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isToken(name) || bytes.ContainsAny(value, "\r\n\x00") {
			return head{}, false
		}
		switch {
		case isName(name, "Content-Length"):
			n, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 31)
			if err != nil || lengthSeen {
				return head{}, false
			}
			lengthSeen = true
			h.bodyBytes = int(n)
		case isName(name, "Connection"):
			if !strings.EqualFold(string(bytes.Trim(value, " \t")), "keep-alive") {
				return head{}, false
			}
		case isName(name, "Transfer-Encoding"), isName(name, "Upgrade"), isName(name, "Expect"),
			isName(name, "Trailer"):
			return head{}, false
		}
	}
	h.safe = h.safe && h.bodyBytes == 0
	return h, true
}

// parseRequestLine reports whether the method is safe. Ok is false if the line is none of
// HTTP/1.1 or its method is not known.
func parseRequestLine(line []byte) (safe, ok bool) {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if len(target) == 0 || string(version) != "HTTP/1.1" || bytes.ContainsAny(target, "\r\n") {
		return false, false
	}
	safe, ok = methods[string(method)]
	return safe, ok
}

// isName compares the name of a header field without regard to case.
func isName(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

// isToken reports whether b can be the name of a header field. It knows fewer characters
// than the standard, and so refuses only unusual names.
func isToken(b []byte) bool {
	for _, c := range b {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return len(b) > 0
}

// framer follows where requests begin and end in the bytes that net/http reads. The zero
// value expects the beginning of a request.
type framer struct {
	// rest is the number of bytes of the current request that are still to come after a
	// complete head.
	rest int
	// partial is the part of the current request's head that was read.
	partial []byte
	// lost is set when the end of a request can't be told. It stays set.
	lost bool
	// unsafe is set while the current request is known not to be safe.
	unsafe bool
}

// atBoundary reports whether the next byte begins a request.
func (f *framer) atBoundary() bool { return !f.lost && f.rest == 0 && len(f.partial) == 0 }

// observe takes the next bytes and returns how many of them belong to the current request.
func (f *framer) observe(b []byte) int {
	if f.lost {
		return len(b)
	}
	if f.rest > 0 {
		n := min(len(b), f.rest)
		f.rest -= n
		return n
	}
	f.unsafe = false
	data, before := b, len(f.partial)
	if before > 0 {
		data = append(f.partial, b...)
	}
	searched := max(0, before-len(headEnd)+1)
	end := bytes.Index(data[searched:], []byte(headEnd))
	if end < 0 {
		if len(data) > maxPartialBytes {
			f.lose()
			return len(b)
		}
		if before == 0 {
			data = bytes.Clone(data)
		}
		f.partial = data
		return len(b)
	}
	h, ok := parseHead(data[:searched+end+len(headEnd)])
	if !ok {
		f.lose()
		return len(b)
	}
	f.partial, f.unsafe = nil, !h.safe
	n := min(len(b), h.bytes+h.bodyBytes-before)
	f.rest = h.bytes + h.bodyBytes - before - n
	return n
}

func (f *framer) lose() { f.partial, f.lost, f.unsafe = nil, true, true }

// completeSafeHead returns the length of the head at the beginning of b if it is complete
// and that of a safe request without a body, else 0.
func completeSafeHead(b []byte) int {
	end := bytes.Index(b, []byte(headEnd))
	if end < 0 {
		return 0
	}
	h, ok := parseHead(b[:end+len(headEnd)])
	if !ok || !h.safe {
		return 0
	}
	return h.bytes
}

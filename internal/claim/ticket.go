package claim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"hash"
	"sync"
)

// ticket holds the decoded fields of a ticket.
type ticket struct {
	// Host, Address, Incarnation and Nonce identify the issuer. Nonce is random for
	// each process, in case two processes use the same incarnation.
	Host, Address      string
	Incarnation, Nonce uint64
	// Sequence is unique among the tickets of one issuer.
	Sequence uint64
	// Epoch is the number of the issuer's epoch in which the ticket expires.
	Epoch   uint64
	Account string
}

const (
	ticketVersion = 1
	// macSize is the length of the authentication code, in bytes.
	macSize = 16
	// maxTicketLength limits an encoded ticket, in bytes.
	maxTicketLength = 1024
	// macKeyLabel is the label with which the key of the authentication codes is
	// derived from the fleet secret. Other uses of the secret have other labels.
	macKeyLabel = "curranthold ticket 1"
)

var errInvalidTicket = errors.New("claim: not a ticket of this fleet")

// ticketCodec encodes and authenticates tickets.
type ticketCodec struct {
	// macs has one element for each secret, with the current secret first.
	macs []*macPool
}

// macPool is a pool of HMAC hashes with the same key.
type macPool struct {
	pool sync.Pool
}

func newTicketCodec(secret []byte, old [][]byte) *ticketCodec {
	c := &ticketCodec{}
	for _, secret := range append([][]byte{secret}, old...) {
		if len(secret) == 0 {
			continue
		}
		derived := hmac.New(sha256.New, secret)
		_, _ = derived.Write([]byte(macKeyLabel)) // hash.Hash.Write never returns an error.
		key := derived.Sum(nil)
		c.macs = append(c.macs, &macPool{pool: sync.Pool{
			New: func() any { return hmac.New(sha256.New, key) },
		}})
	}
	return c
}

func (c *ticketCodec) hasSecret() bool {
	return len(c.macs) > 0
}

func (p *macPool) sum(buf, content []byte) []byte {
	mac := p.pool.Get().(hash.Hash)
	defer p.pool.Put(mac)
	mac.Reset()
	_, _ = mac.Write(content) // hash.Hash.Write never returns an error.
	return mac.Sum(buf)
}

// encode returns the ticket as text with an authentication code, as it is issued to
// callers.
func (c *ticketCodec) encode(t *ticket) string {
	b := make([]byte, 0, 160)
	b = append(b, ticketVersion)
	b = binary.AppendUvarint(b, t.Incarnation)
	b = binary.BigEndian.AppendUint64(b, t.Nonce)
	b = binary.AppendUvarint(b, t.Sequence)
	b = binary.AppendUvarint(b, t.Epoch)
	b = appendString(b, t.Host)
	b = appendString(b, t.Address)
	b = appendString(b, t.Account)
	var sum [sha256.Size]byte
	b = append(b, c.macs[0].sum(sum[:0], b)[:macSize]...)
	return base64.RawURLEncoding.EncodeToString(b)
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// decode returns the fields of an encoded ticket. It fails if the ticket is malformed
// or its authentication code matches none of the secrets.
func (c *ticketCodec) decode(text string) (*ticket, error) {
	if len(text) > maxTicketLength {
		return nil, errInvalidTicket
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) <= macSize {
		return nil, errInvalidTicket
	}
	content, mac := b[:len(b)-macSize], b[len(b)-macSize:]
	if !c.authentic(content, mac) {
		return nil, errInvalidTicket
	}
	return parseTicket(content)
}

func (c *ticketCodec) authentic(content, mac []byte) bool {
	var sum [sha256.Size]byte
	for _, pool := range c.macs {
		if hmac.Equal(pool.sum(sum[:0], content)[:macSize], mac) {
			return true
		}
	}
	return false
}

func parseTicket(content []byte) (*ticket, error) {
	r := ticketReader{rest: content}
	if r.bytes(1)[0] != ticketVersion {
		return nil, errInvalidTicket
	}
	t := &ticket{
		Incarnation: r.uvarint(),
		Nonce:       binary.BigEndian.Uint64(r.bytes(8)),
		Sequence:    r.uvarint(),
		Epoch:       r.uvarint(),
		Host:        r.string(),
		Address:     r.string(),
		Account:     r.string(),
	}
	if r.failed || len(r.rest) > 0 {
		return nil, errInvalidTicket
	}
	return t, nil
}

// ticketReader reads the fields of a ticket. failed is set once a field can't be
// read; the values read are then meaningless.
type ticketReader struct {
	rest   []byte
	failed bool
}

func (r *ticketReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// bytes returns the next n bytes. If fewer are left, it sets failed and returns n
// zero bytes.
func (r *ticketReader) bytes(n int) []byte {
	if n > len(r.rest) {
		r.failed = true
		return make([]byte, n)
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *ticketReader) string() string {
	n := r.uvarint()
	if n > uint64(len(r.rest)) {
		r.failed = true
		return ""
	}
	return string(r.bytes(int(n)))
}

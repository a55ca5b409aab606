package peer

import (
	"bufio"
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// handshakeTimeout is the timeout of the handshake on a new connection.
const handshakeTimeout = 2 * time.Second

const (
	nonceBytes      = 32
	maxAddressBytes = 255
)

// compactMark ends the nonces of nodes that know the compact format. Nodes of earlier
// builds take it for a part of the nonce, and their own nonces end like it by chance once
// in 2^64 connections. The 24 bytes before it are random, which keeps nonces unique. The
// proofs cover the nonces, so nobody between the nodes can change the mark.
var compactMark = [...]byte{0xc7, 'c', 'o', 'm', 'p', 'a', 'c', 't'}

// session is what the handshake of a connection has established.
type session struct {
	// remote is the address at which the other node listens.
	remote string
	// compact is set if both nodes know the compact format.
	compact bool
}

// newNonce returns a nonce, with compactMark if compact is set.
func newNonce(compact bool) []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	if compact {
		copy(nonce[nonceBytes-len(compactMark):], compactMark[:])
	}
	return nonce
}

// isCompact reports whether all of the nonces have compactMark.
func isCompact(nonces ...[]byte) bool {
	for _, nonce := range nonces {
		if !bytes.HasSuffix(nonce, compactMark[:]) {
			return false
		}
	}
	return true
}

// protocolName is the first thing that a client sends, so that a client of another
// protocol is rejected at once. Its last byte is the protocol's version.
var protocolName = [...]byte{'c', 'r', 'n', 't', 'h', 'l', 'd', 1}

var errHandshake = errors.New("peer: handshake refused")

// proof returns the HMAC by which one side of a connection, the prover, shows the
// other, the verifier, that it knows the secret. Both nonces are new for each
// connection, so that a proof can't be replayed. The role keeps the proof of one
// side from being sent back as that of the other.
func proof(secret []byte, role byte, proverNonce, verifierNonce []byte, address string) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte{role})
	mac.Write(proverNonce)
	mac.Write(verifierNonce)
	mac.Write([]byte(address))
	return mac.Sum(nil)
}

const (
	roleClient byte = 'c'
	roleServer byte = 's'
)

// clientHandshake checks the server's proof that it knows the fleet's secret, then
// sends this node's own proof and the address at which this node listens. It reports
// whether the connection is compact, which it is only if compact is set.
func clientHandshake(conn net.Conn, r *bufio.Reader, secret []byte, address string, compact bool) (bool, error) {
	if len(address) > maxAddressBytes {
		return false, fmt.Errorf("%w: address of %d bytes", errHandshake, len(address))
	}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	clientNonce := newNonce(compact)
	if _, err := conn.Write(append(protocolName[:], clientNonce...)); err != nil {
		return false, err
	}
	response := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(r, response); err != nil {
		return false, err
	}
	serverNonce := response[:nonceBytes]
	if !hmac.Equal(response[nonceBytes:], proof(secret, roleServer, serverNonce, clientNonce, "")) {
		return false, fmt.Errorf("%w: the other node does not know the fleet's secret", errHandshake)
	}
	message := append([]byte{byte(len(address))}, address...)
	message = append(message, proof(secret, roleClient, clientNonce, serverNonce, address)...)
	if _, err := conn.Write(message); err != nil {
		return false, err
	}
	return isCompact(clientNonce, serverNonce), conn.SetDeadline(time.Time{})
}

// serverHandshake is the server's side of clientHandshake.
func serverHandshake(conn net.Conn, r *bufio.Reader, secret []byte, compact bool) (session, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	opening := make([]byte, len(protocolName)+nonceBytes)
	if _, err := io.ReadFull(r, opening); err != nil {
		return session{}, err
	}
	if [len(protocolName)]byte(opening) != protocolName {
		return session{}, fmt.Errorf("%w: unknown protocol or version", errHandshake)
	}
	clientNonce := opening[len(protocolName):]
	serverNonce := newNonce(compact)
	if _, err := conn.Write(append(serverNonce, proof(secret, roleServer, serverNonce, clientNonce, "")...)); err != nil {
		return session{}, err
	}
	length, err := r.ReadByte()
	if err != nil {
		return session{}, err
	}
	message := make([]byte, int(length)+sha256.Size)
	if _, err := io.ReadFull(r, message); err != nil {
		return session{}, err
	}
	address := string(message[:length])
	if !hmac.Equal(message[length:], proof(secret, roleClient, clientNonce, serverNonce, address)) {
		return session{}, fmt.Errorf("%w: the other node does not know the fleet's secret", errHandshake)
	}
	return session{remote: address, compact: isCompact(clientNonce, serverNonce)}, conn.SetDeadline(time.Time{})
}

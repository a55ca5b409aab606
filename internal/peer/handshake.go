package peer

import (
	"bufio"
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
// sends this node's own proof and the address at which this node listens.
func clientHandshake(conn net.Conn, r *bufio.Reader, secret []byte, address string) error {
	if len(address) > maxAddressBytes {
		return fmt.Errorf("%w: address of %d bytes", errHandshake, len(address))
	}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	clientNonce := make([]byte, nonceBytes)
	_, _ = rand.Read(clientNonce)
	if _, err := conn.Write(append(protocolName[:], clientNonce...)); err != nil {
		return err
	}
	response := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(r, response); err != nil {
		return err
	}
	serverNonce := response[:nonceBytes]
	if !hmac.Equal(response[nonceBytes:], proof(secret, roleServer, serverNonce, clientNonce, "")) {
		return fmt.Errorf("%w: the other node does not know the fleet's secret", errHandshake)
	}
	message := append([]byte{byte(len(address))}, address...)
	message = append(message, proof(secret, roleClient, clientNonce, serverNonce, address)...)
	if _, err := conn.Write(message); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// serverHandshake is the server's side of clientHandshake. It returns the address
// at which the client's node listens.
func serverHandshake(conn net.Conn, r *bufio.Reader, secret []byte) (string, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	opening := make([]byte, len(protocolName)+nonceBytes)
	if _, err := io.ReadFull(r, opening); err != nil {
		return "", err
	}
	if [len(protocolName)]byte(opening) != protocolName {
		return "", fmt.Errorf("%w: unknown protocol or version", errHandshake)
	}
	clientNonce := opening[len(protocolName):]
	serverNonce := make([]byte, nonceBytes)
	_, _ = rand.Read(serverNonce)
	if _, err := conn.Write(append(serverNonce, proof(secret, roleServer, serverNonce, clientNonce, "")...)); err != nil {
		return "", err
	}
	length, err := r.ReadByte()
	if err != nil {
		return "", err
	}
	message := make([]byte, int(length)+sha256.Size)
	if _, err := io.ReadFull(r, message); err != nil {
		return "", err
	}
	address := string(message[:length])
	if !hmac.Equal(message[length:], proof(secret, roleClient, clientNonce, serverNonce, address)) {
		return "", fmt.Errorf("%w: the other node does not know the fleet's secret", errHandshake)
	}
	return address, conn.SetDeadline(time.Time{})
}

package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net"
	"time"

	"github.com/rattanscale/rattanscale/internal/failure"
)

const (
	protocolVersion   = 1
	nonceBytes        = 32
	maxHandshakeBytes = 1024
)

// greeting is the first message of each end. After it the dialling end sends a proof.
type greeting struct {
	Version int    `json:"version"`
	Address string `json:"address"`
	Nonce   []byte `json:"nonce"`
	// Proof is set only by the accepting end, which replies to the dialler's greeting.
	Proof []byte `json:"proof,omitempty"`
}

type proof struct {
	Proof []byte `json:"proof"`
}

// computeProof returns the HMAC by which one end proves that it holds the key. The
// role is part of the HMAC, so that a proof cannot be reflected to its sender.
func computeProof(key, role string, dialler, acceptor greeting) []byte {
	mac := hmac.New(sha256.New, []byte(key))
	for _, part := range [][]byte{[]byte(role), []byte(dialler.Address), dialler.Nonce, []byte(acceptor.Address), acceptor.Nonce} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		mac.Write(length[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
}

const (
	roleDialler  = "dialler"
	roleAcceptor = "acceptor"
)

func newGreeting(address string) (greeting, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return greeting{}, err
	}
	return greeting{Version: protocolVersion, Address: address, Nonce: nonce}, nil
}

func (g greeting) validate() error {
	if g.Version != protocolVersion || len(g.Nonce) != nonceBytes {
		return failure.New(failure.InvalidRequest, "peer uses version %d of the peer protocol, expected version %d", g.Version, protocolVersion)
	}
	return nil
}

func errWrongKey(address string) error {
	return failure.New(failure.Unauthenticated, "peer %q does not hold the peer key; set the same keys.peer on all hosts", address)
}

func writeHandshakeMessage(conn net.Conn, o *Options, v any) error {
	var buf bytes.Buffer
	if err := encodeFrame(&buf, v, o.Clock.Now(), maxHandshakeBytes); err != nil {
		return err
	}
	_, err := conn.Write(buf.Bytes())
	return err
}

func readHandshakeMessage(conn net.Conn, v any) error {
	_, err := decodeFrame(conn, maxHandshakeBytes, v)
	return err
}

// dialHandshake runs the handshake of the dialling end: it verifies the proof of the
// accepting end and sends its own. It returns the address of the accepting end.
func dialHandshake(conn net.Conn, o *Options) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", err
	}
	local, err := newGreeting(o.Address)
	if err != nil {
		return "", err
	}
	if err := writeHandshakeMessage(conn, o, local); err != nil {
		return "", err
	}
	var remote greeting
	if err := readHandshakeMessage(conn, &remote); err != nil {
		return "", err
	}
	if err := remote.validate(); err != nil {
		return "", err
	}
	if !hmac.Equal(remote.Proof, computeProof(o.Key, roleAcceptor, local, remote)) {
		return "", errWrongKey(remote.Address)
	}
	if err := writeHandshakeMessage(conn, o, proof{computeProof(o.Key, roleDialler, local, remote)}); err != nil {
		return "", err
	}
	return remote.Address, conn.SetDeadline(time.Time{})
}

// acceptHandshake runs the handshake of the accepting end and returns the address of
// the dialling end.
func acceptHandshake(conn net.Conn, o *Options) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", err
	}
	var remote greeting
	if err := readHandshakeMessage(conn, &remote); err != nil {
		return "", err
	}
	if err := remote.validate(); err != nil {
		return "", err
	}
	local, err := newGreeting(o.Address)
	if err != nil {
		return "", err
	}
	local.Proof = computeProof(o.Key, roleAcceptor, remote, local)
	if err := writeHandshakeMessage(conn, o, local); err != nil {
		return "", err
	}
	var response proof
	if err := readHandshakeMessage(conn, &response); err != nil {
		return "", fmt.Errorf("read proof of the peer key from %q: %w", remote.Address, err)
	}
	if !hmac.Equal(response.Proof, computeProof(o.Key, roleDialler, remote, local)) {
		return "", errWrongKey(remote.Address)
	}
	return remote.Address, conn.SetDeadline(time.Time{})
}

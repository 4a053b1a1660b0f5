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
	protocolVersion = 1
	nonceBytes      = 32
	maxHandshake    = 1024
)

// greeting is the first message of each end; proof follows.
type greeting struct {
	Version int    `json:"version"`
	Address string `json:"address"`
	Nonce   []byte `json:"nonce"`
	// Proof is set in the answer of the accepting end.
	Proof []byte `json:"proof,omitempty"`
}

type proof struct {
	Proof []byte `json:"proof"`
}

// sign returns the proof of one end. The role is part of it, so that a proof
// cannot be sent back to its maker.
func sign(key, role string, dialler, acceptor greeting) []byte {
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

func (g greeting) check() error {
	if g.Version != protocolVersion || len(g.Nonce) != nonceBytes {
		return failure.New(failure.InvalidRequest, "peer speaks version %d of the peer protocol instead of %d", g.Version, protocolVersion)
	}
	return nil
}

func errWrongKey(address string) error {
	return failure.New(failure.Unauthenticated, "peer %q does not hold the peer key; set the same keys.peer on all hosts", address)
}

func writeMessage(conn net.Conn, o *Options, v any) error {
	var buf bytes.Buffer
	if err := encodeFrame(&buf, v, o.Clock.Now(), maxHandshake); err != nil {
		return err
	}
	_, err := conn.Write(buf.Bytes())
	return err
}

func readMessage(conn net.Conn, v any) error {
	_, err := decodeFrame(conn, maxHandshake, v)
	return err
}

// dialHandshake proves the key to the accepting end and checks its proof. It
// returns the address of the other end.
func dialHandshake(conn net.Conn, o *Options) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", err
	}
	mine, err := newGreeting(o.Address)
	if err != nil {
		return "", err
	}
	if err := writeMessage(conn, o, mine); err != nil {
		return "", err
	}
	var theirs greeting
	if err := readMessage(conn, &theirs); err != nil {
		return "", err
	}
	if err := theirs.check(); err != nil {
		return "", err
	}
	if !hmac.Equal(theirs.Proof, sign(o.Key, roleAcceptor, mine, theirs)) {
		return "", errWrongKey(theirs.Address)
	}
	if err := writeMessage(conn, o, proof{sign(o.Key, roleDialler, mine, theirs)}); err != nil {
		return "", err
	}
	return theirs.Address, conn.SetDeadline(time.Time{})
}

// acceptHandshake is the counterpart of dialHandshake.
func acceptHandshake(conn net.Conn, o *Options) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", err
	}
	var theirs greeting
	if err := readMessage(conn, &theirs); err != nil {
		return "", err
	}
	if err := theirs.check(); err != nil {
		return "", err
	}
	mine, err := newGreeting(o.Address)
	if err != nil {
		return "", err
	}
	mine.Proof = sign(o.Key, roleAcceptor, theirs, mine)
	if err := writeMessage(conn, o, mine); err != nil {
		return "", err
	}
	var answer proof
	if err := readMessage(conn, &answer); err != nil {
		return "", fmt.Errorf("peer %q sent no proof of the key: %w", theirs.Address, err)
	}
	if !hmac.Equal(answer.Proof, sign(o.Key, roleDialler, theirs, mine)) {
		return "", errWrongKey(theirs.Address)
	}
	return theirs.Address, conn.SetDeadline(time.Time{})
}

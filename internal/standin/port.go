package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// The addresses of tests stand below the range that outgoing connections take their ports from, so that no connection
// takes a port between its choice and its use.
const (
	firstPort = 12_000
	lastPort  = 32_000
	portTries = 200
	// reservedIP is a loopback address on which a process holds the ports that it was given.
	reservedIP      = "127.0.0.2"
	maxReservations = 4096
)

// reservations keeps the held ports until the process ends, so that neither this nor another process is given one twice.
var reservations = make(chan net.Listener, maxReservations)

// FreeAddress returns a loopback address whose port is free for TCP and UDP, and that no other call returns.
func FreeAddress() (string, error) {
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		held, err := net.Listen("tcp", fmt.Sprintf("%s:%d", reservedIP, port))
		if err != nil {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if !free(address) {
			held.Close()
			continue
		}
		select {
		case reservations <- held:
			return address, nil
		default:
			return "", errors.New("too many addresses are reserved")
		}
	}
	return "", errors.New("no free port")
}

func free(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer l.Close()
	p, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	p.Close()
	return true
}

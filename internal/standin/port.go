package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// Test addresses use ports below the range from which the system takes those of outgoing connections, so that no
// connection occupies a port between its choice and its use.
const (
	// Ports are drawn from firstPort to lastPort-1, at most maxPortAttempts times for one address.
	firstPort       = 12_000
	lastPort        = 32_000
	maxPortAttempts = 200
	// reservedIP is a second loopback address: listening there on a port reserves it across processes.
	reservedIP = "127.0.0.2"
	// maxReservations is the most addresses that one process can get.
	maxReservations = 4096
)

// reservations keeps the reserving listeners open until the process ends, so that no process gets a port twice.
var reservations = make(chan net.Listener, maxReservations)

// FreeAddress returns a loopback address whose port is free for TCP and UDP and that no other call returns, in this or
// another process, as long as this process runs. Tests and measurements take the addresses of their servers from it.
func FreeAddress() (string, error) {
	for range maxPortAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort)
		reservation, err := net.Listen("tcp", fmt.Sprintf("%s:%d", reservedIP, port))
		if err != nil {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if !isFree(address) {
			reservation.Close()
			continue
		}
		select {
		case reservations <- reservation:
			return address, nil
		default:
			return "", errors.New("too many addresses are reserved by this process")
		}
	}
	return "", errors.New("no free port found on the loopback interface")
}

// isFree reports whether the address can be listened on with TCP and UDP, for FreeAddress.
func isFree(address string) bool {
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

package peer

import "errors"

// Counts counts the datagrams of a VM by what became of them. BadSize, BadVersion, BadMAC and Malformed count those that
// Decode rejected, by its error.
type Counts struct {
	Sent          uint64
	SentBytes     uint64
	SendFailed    uint64
	Received      uint64
	ReceivedBytes uint64
	BadSize       uint64
	BadVersion    uint64
	BadMAC        uint64
	Malformed     uint64
	// Replayed counts datagrams that came twice, out of order or from an earlier incarnation.
	Replayed uint64
	// OwnName counts datagrams that carry the VM's own name: another VM may have the same one.
	OwnName uint64
	// MailboxFull counts datagrams dropped because the mailbox was full.
	MailboxFull uint64
	// SectionQueueFull counts calls of the sections dropped because the queue was full.
	SectionQueueFull uint64
}

// countRejected counts a datagram that Decode rejected. The handler of packetMessage calls it.
func (c *Counts) countRejected(err error) {
	switch {
	case errors.Is(err, ErrTruncated), errors.Is(err, ErrOversize):
		c.BadSize++
	case errors.Is(err, ErrVersion):
		c.BadVersion++
	case errors.Is(err, ErrMAC):
		c.BadMAC++
	default:
		c.Malformed++
	}
}

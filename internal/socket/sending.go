package socket

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// responseTimeout is how long a host may leave what is sent to it unanswered
	// before a connection that has stalled fails. It is userTimeout and the time
	// for an answer to what was sent last.
	responseTimeout = userTimeout + 250*time.Millisecond
	// minUnanswered is the number of unanswered probes after which the host counts
	// as not responding, since a single one may be lost.
	minUnanswered = 2
)

// stateClosed is the state of a TCP connection that the kernel has given up. The kernel numbers
// the states alike in TCP_INFO and for BPF, for which there are constants.
const stateClosed = unix.BPF_TCP_CLOSE

// sending is the state of the data that was written to a connection.
type sending struct {
	// closed is set if the kernel has given the connection up, because it failed or because
	// both hosts have ended their streams.
	closed bool
	// unsentBytes were written but not sent yet, and unackedSegments sent but not
	// acknowledged. ackedBytes is the total of those acknowledged so far.
	unsentBytes, unackedSegments uint32
	ackedBytes                   uint64
	// probes is the number of unanswered probes of a closed receive window.
	probes uint8
	// sinceAck is the time since the other host last acknowledged anything, and
	// sinceSent the time since data was last sent to it, also if sent again.
	sinceAck, sinceSent time.Duration
}

// readSending returns the state of the connection's data.
func readSending(fd int) (sending, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return sending{}, err
	}
	return sending{
		closed:          info.State == stateClosed,
		unsentBytes:     info.Notsent_bytes,
		unackedSegments: info.Unacked,
		ackedBytes:      info.Bytes_acked,
		probes:          info.Probes,
		sinceAck:        time.Duration(info.Last_ack_recv) * time.Millisecond,
		sinceSent:       time.Duration(info.Last_data_sent) * time.Millisecond,
	}, nil
}

// pending reports whether the other host has not acknowledged all data.
func (s sending) pending() bool { return s.unsentBytes > 0 || s.unackedSegments > 0 }

// stalled reports whether data is held back although the other host responds: either
// its receive window was closed before any of the data was sent, or none was
// acknowledged since the earlier state, although the host has answered. A system that
// does not report the times never shows the latter.
func (s sending) stalled(earlier sending) bool {
	windowClosed := s.unsentBytes > 0 && s.unackedSegments == 0
	answered := s.sinceSent > 0 && s.sinceAck <= s.sinceSent
	refused := s.unackedSegments > 0 && s.ackedBytes == earlier.ackedBytes && answered
	return windowClosed || refused
}

// awaitsAck reports whether the other host has not answered the data that was sent to
// it last.
func (s sending) awaitsAck() bool {
	return s.unackedSegments > 0 && s.sinceSent < s.sinceAck
}

// unanswered reports whether the other host no longer responds to what is sent every
// probeInterval.
func (s sending) unanswered() bool {
	return s.sinceAck >= responseTimeout && (s.probes >= minUnanswered || s.awaitsAck())
}

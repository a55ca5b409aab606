package socket

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSending(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		earlier, now                 sending
		pending, stalled, unanswered bool
	}{
		"nothing written":          {now: sending{sinceAck: time.Minute, sinceSent: time.Minute}},
		"just sent after a pause":  {now: sending{unackedSegments: 1, sinceAck: time.Minute}, pending: true, unanswered: true},
		"flowing":                  {earlier: sending{ackedBytes: 1}, now: sending{unsentBytes: 9, unackedSegments: 2, ackedBytes: 5, sinceAck: ms, sinceSent: ms}, pending: true},
		"window closed":            {now: sending{unsentBytes: 9, sinceAck: 900 * ms, sinceSent: 5 * time.Second}, pending: true, stalled: true},
		"refused by a live host":   {now: sending{unsentBytes: 9, unackedSegments: 1, sinceAck: 100 * ms, sinceSent: 100 * ms}, pending: true, stalled: true},
		"not acknowledged":         {now: sending{unackedSegments: 1, sinceAck: 500 * ms, sinceSent: 100 * ms}, pending: true},
		"one probe lost":           {now: sending{unsentBytes: 9, probes: 1, sinceAck: 2400 * ms, sinceSent: 9 * time.Second}, pending: true, stalled: true},
		"probes unanswered":        {now: sending{unsentBytes: 9, probes: 2, sinceAck: 2400 * ms, sinceSent: 9 * time.Second}, pending: true, stalled: true, unanswered: true},
		"probes just sent":         {now: sending{unsentBytes: 9, probes: 2, sinceAck: 2100 * ms, sinceSent: 9 * time.Second}, pending: true, stalled: true},
		"retransmitted in vain":    {now: sending{unackedSegments: 1, sinceAck: 2400 * ms, sinceSent: 300 * ms}, pending: true, unanswered: true},
		"times not reported":       {now: sending{unackedSegments: 3}, pending: true},
		"acknowledged, but slowly": {earlier: sending{ackedBytes: 1}, now: sending{unackedSegments: 1, ackedBytes: 2, sinceAck: 200 * ms, sinceSent: 300 * ms}, pending: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, test.now.pending(), qt.Equals, test.pending)
			qt.Check(t, test.now.stalled(test.earlier), qt.Equals, test.stalled)
			qt.Check(t, test.now.unanswered(), qt.Equals, test.unanswered)
		})
	}
}

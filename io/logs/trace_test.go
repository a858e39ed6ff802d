package logs_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"boragepost/io/logs"
)

const sample = `time="2026-12-04T10:00:00.000Z" level=info event=serverChanged phase=ready server=000000a1 service=yard
time="2026-12-04T10:00:01.000Z" level=info event=flowPlaced flow="127.0.0.1:5>198.18.0.1:443" server=000000a1 busy=2
some other program's line
time="2026-12-04T10:00:01.010Z" level=info event=requestForwarded flow="127.0.0.1:5>198.18.0.1:443" request=00ab server=000000a1
time="2026-12-04T10:00:01.020Z" level=info event=requestForwarded flow="127.0.0.1:6>198.18.0.1:443" request=00cd server=000000a2
time="2026-12-04T10:00:03.000Z" level=info event=serverChanged phase=gone server=000000a1 service=yard
time="2026-12-04T10:00:03.100Z" level=info event=serverChanged phase=gone server=000000a2 service=yard
time="2026-12-04T10:00:05.000Z" level=warning event=flowReset flow="127.0.0.1:5>198.18.0.1:443" reason=serverGone server=000000a1
time="2026-12-04T10:20:05.000Z" level=info event=serverChanged phase=ready server=000000a1 service=yard
`

// TestTrace finds the flow and the backend server of a request.
func TestTrace(t *testing.T) {
	g := NewWithT(t)
	lines, err := logs.Read("entry1", strings.NewReader(sample))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lines).To(HaveLen(8))
	var events []string
	for _, l := range logs.Trace(lines, "00ab") {
		events = append(events, l.Event+" "+l.Fields["phase"]+l.Fields["reason"])
	}
	g.Expect(events).To(Equal([]string{
		"serverChanged ready", "flowPlaced ", "requestForwarded ", "serverChanged gone", "flowReset serverGone"}))
	g.Expect(logs.Trace(lines, "127.0.0.1:6>198.18.0.1:443")).To(HaveLen(2))
	g.Expect(logs.Trace(lines, "unknown")).To(BeEmpty())
}

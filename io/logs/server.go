package logs

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"boragepost/core/roster"
)

// FormatServerID returns the identifier of a backend server in log lines: at
// least eight hexadecimal digits.
func FormatServerID(id uint64) string { return fmt.Sprintf("%08x", id) }

// ServerFields returns the log fields that show how a backend server is used, and
// the incarnation and announcement (sequence) from which that follows.
func ServerFields(s roster.Server) logrus.Fields {
	return logrus.Fields{
		"server": FormatServerID(s.ID), "service": s.Service, "address": s.Address, "phase": s.Phase.String(),
		"silent": s.Silent, "incarnation": s.Incarnation, "sequence": s.Sequence, "warming": s.Warming,
	}
}

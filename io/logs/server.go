package logs

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"boragepost/core/roster"
)

// FormatServerID returns how lines name a backend server: its number in hexadecimal
// digits.
func FormatServerID(id uint64) string { return fmt.Sprintf("%08x", id) }

// ServerFields returns the fields that say how a backend server is used and what that
// follows from.
func ServerFields(s roster.Server) logrus.Fields {
	return logrus.Fields{
		"server": FormatServerID(s.ID), "service": s.Service, "address": s.Address, "phase": s.Phase.String(),
		"silent": s.Silent, "incarnation": s.Incarnation, "sequence": s.Sequence,
	}
}

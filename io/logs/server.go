package logs

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"boragepost/core/roster"
)

// ServerName returns how lines name a backend server: its number in hexadecimal
// digits.
func ServerName(id uint64) string { return fmt.Sprintf("%08x", id) }

// Server returns the fields that say how a backend server is used and what that
// follows from.
func Server(s roster.Server) logrus.Fields {
	return logrus.Fields{
		"server": ServerName(s.ID), "service": s.Service, "address": s.Address, "phase": s.Phase.String(),
		"silent": s.Silent, "incarnation": s.Incarnation, "sequence": s.Sequence,
	}
}

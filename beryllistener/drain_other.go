//go:build !linux

package beryllistener

import (
	"context"

	"github.com/go-faster/errors"
)

// Drain returns an error, as new connections can't be ignored on this system.
func (l *Listener) Drain(context.Context) error {
	return errors.New("new connections can't be ignored on this system")
}

package berylsite

import (
	"testing"

	"github.com/matryer/is"

	"berylglade/berylquota"
	"berylglade/platform"
)

// Guards against budgets that add up to more than the VM has, and against one in which
// a request at the limits has no room.
func TestBudgets(t *testing.T) {
	tests := []platform.Settings{
		{Memory: 32 << 20, Descriptors: 300},
		{Memory: 80 << 20, Descriptors: 500},
		{Memory: 144 << 20, Descriptors: 3075},
		{Memory: 536 << 20, Descriptors: 10250},
	}
	for _, tt := range tests {
		is := is.New(t)
		b := newBudgets(tt)
		is.True(b.heap < tt.Memory)
		is.True(b.clients.Bytes+3*b.service.Bytes <= b.heap)
		is.True(b.clients.Conns+3*b.service.Conns+b.internalConns < tt.Descriptors-platform.ReservedDescriptors)
		q := berylquota.New(b.clients)
		// A header of 16 KiB, of which net/http reads 4 KiB more, in lines of three
		// bytes, and a body of 256 KiB.
		const request = 20<<10*4 + 20<<10/3*256 + 256<<10*2
		is.True(b.clients.Base+request <= q.Limits.Connection)
	}
}

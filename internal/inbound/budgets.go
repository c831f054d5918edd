package inbound

import "net"

const (
	lingererShare  = 128 << 10 // bytes of the limit on memory for each connection that may linger
	minLingerers   = 64
	maxSocketBytes = 64 << 10 // of the system's buffer for what a connection receives
	minSocketBytes = 16 << 10
	socketShare    = 0.1 // of the limit on memory, for the system's receive buffers of all connections
)

// Budgets are the accounts that all fronts of a process share.
type Budgets struct {
	Work   *Work
	Memory *Memory
	Linger *Lingerer
}

// NewBudgets returns the accounts of a process with the given number of cores and limit on memory in bytes. What input may hold
// of that is set by Memory.SetLimit.
func NewBudgets(cores int, memoryBytes float64) *Budgets {
	work := NewWork(cores)
	return &Budgets{Work: work, Memory: &Memory{}, Linger: &Lingerer{Work: work, Max: max(minLingerers, int(memoryBytes)/lingererShare/8)}}
}

// SocketBytes returns how much the system may hold of what each of the given number of connections has received.
func SocketBytes(memoryBytes float64, connections int) int {
	return max(minSocketBytes, min(maxSocketBytes, int(socketShare*memoryBytes)/max(1, connections)))
}

// NewClient returns the work account of a new connection, also where there are no budgets.
func (b *Budgets) NewClient() *Client {
	if b == nil {
		return &Client{}
	}
	return b.Work.NewClient()
}

// NewHolding returns the memory account of a new connection, also where there are no budgets.
func (b *Budgets) NewHolding() *Holding {
	if b == nil {
		return nil
	}
	return b.Memory.NewHolding()
}

// Close writes the last answer to a client, if there is one, and closes its connection, see Lingerer.
func (b *Budgets) Close(c net.Conn, last []byte, lost func(error)) error {
	if b == nil {
		return unbudgeted.Close(c, last, lost)
	}
	return b.Linger.Close(c, last, lost)
}

// unbudgeted closes connections that are on no account.
var unbudgeted = &Lingerer{Max: minLingerers}

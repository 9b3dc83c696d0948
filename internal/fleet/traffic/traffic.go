// Package traffic counts the messages between gateways and their bytes by kind.
package traffic

import (
	"sync"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

// Direction is whether this process sent or received a message.
type Direction string

// The directions.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// Key identifies what is counted together.
type Key struct {
	// Kind is the name of the message's field in an envelope, such as "gossip".
	Kind      string
	Direction Direction
	// CrossDomain is set if the peer is in another failure domain.
	CrossDomain bool
}

// Count is a number of messages and the bytes of their bodies, without the headers of streams
// and packets.
type Count struct{ Messages, Bytes uint64 }

// Counts holds the counts of one process. It is safe for concurrent use.
type Counts struct {
	mu     sync.Mutex
	counts map[Key]Count
}

// New returns empty counts.
func New() *Counts { return &Counts{counts: make(map[Key]Count)} }

// Add counts one message.
func (c *Counts) Add(e *wire.Envelope, direction Direction, crossDomain bool) {
	key := Key{Kind: Kind(e), Direction: direction, CrossDomain: crossDomain}
	size := proto.Size(e)
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.counts[key]
	count.Messages++
	count.Bytes += uint64(size)
	c.counts[key] = count
}

// Each calls f with all counts in no particular order.
func (c *Counts) Each(f func(Key, Count)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, count := range c.counts {
		f(key, count)
	}
}

// bodies is the field of an envelope that holds one message of some kind.
var bodies = (&wire.Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("body")

// kinds holds the name of each kind by its field number.
var kinds = kindNames()

func kindNames() map[protoreflect.FieldNumber]string {
	names := make(map[protoreflect.FieldNumber]string)
	for i := range bodies.Fields().Len() {
		field := bodies.Fields().Get(i)
		names[field.Number()] = string(field.Name())
	}
	return names
}

// Kind returns the kind of the message in an envelope, "none" if it is empty or of a kind that
// a later build has added.
func Kind(e *wire.Envelope) string {
	field := e.ProtoReflect().WhichOneof(bodies)
	if field == nil {
		return "none"
	}
	return kinds[field.Number()]
}

package gateway

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/persimmonridge/persimmonridge/internal/fleet/wire"
)

// Guards against a margin that an earlier build learned from estimated lengths, and that
// would be applied to stated maximums.
func TestMarginOfAnEarlierBuildIsNotTakenOver(t *testing.T) {
	raw := protowire.AppendTag(nil, 2, protowire.Fixed32Type)
	raw = protowire.AppendFixed32(raw, math.Float32bits(4))
	var message wire.ServiceMemory
	require.NoError(t, proto.Unmarshal(raw, &message))
	require.Zero(t, message.Overrun)
}

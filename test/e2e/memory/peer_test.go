//go:build linux

package memory

import (
	"net"
	"testing"

	"storj.io/drpc/drpcwire"
)

// Guards against messages between hosts that are held without a bound: one frame of a
// legal size that stops just short of its end.
func TestPeerFrames(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.peers, bigCrowd, sendFrames(fullBody))
	d.checkHeld()
}

func TestKeeperPeerFrames(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.keeperPeers, bigCrowd, sendFrames(fullBody))
	d.checkHeld()
}

// The same with a message in many frames, of which the last one is missing.
func TestKeeperPeerFragments(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.keeperPeers, bigCrowd, sendFrames(largeChunk))
	d.checkHeld()
}

// partialMessage is below the size from which messages between hosts are reserved, in
// bytes.
const partialMessage = 60_000

// Guards against many messages that are small each and stop short of their end.
func TestPeerSmallMessages(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.peers, wideCrowd, sendPartialMessage)
	d.checkHeld()
}

func TestKeeperPeerSmallMessages(t *testing.T) {
	d := newDeployment(t)
	sendCrowd(t, d.keeperPeers, wideCrowd, sendPartialMessage)
	d.checkHeld()
}

// sendPartialMessage sends all but the last byte of a message.
func sendPartialMessage(c net.Conn, _ int) error {
	data := drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Data: make([]byte, partialMessage)})
	_, err := c.Write(data[:len(data)-1])
	return err
}

// sendFrames returns a caller that sends fullBody bytes of a message in frames of a
// given size, without the last byte.
func sendFrames(size int) caller {
	return func(c net.Conn, _ int) error {
		var data []byte
		for sent := 0; sent < fullBody; sent += size {
			data = drpcwire.AppendFrame(data, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Data: make([]byte, min(size, fullBody-sent))})
		}
		_, err := c.Write(data[:len(data)-1])
		return err
	}
}

package drill

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// Ports are taken from below those that systems give to connections: one that is free for a while, because
// its process is down, must not become the near end of somebody's connection meanwhile.
const minPort, maxPort = 10000, 32000

var portCounter, portOffset = new(atomic.Uint32), rand.Uint32N(maxPort - minPort)

// freePort listens at a port that no other call of this process was given.
func freePort(ip string) (l net.Listener, err error) {
	for range maxPort - minPort {
		at := minPort + (portOffset+portCounter.Add(1))%(maxPort-minPort)
		if l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", ip, at)); err == nil {
			break
		}
	}
	return l, err
}

// reservePort reserves a port of the loopback range until the fleet starts.
func (f *Fleet) reservePort(ip string) (string, error) {
	l, err := freePort(ip)
	if err != nil {
		return "", err
	}
	f.reservedPorts = append(f.reservedPorts, l)
	return l.Addr().String(), nil
}

package drill

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// Ports are taken from below the range of ephemeral ports. Otherwise the port of a process that is down for a while
// could be assigned to the local end of an outgoing connection.
const minPort, maxPort = 10000, 32000

var portCounter, portOffset = new(atomic.Uint32), rand.Uint32N(maxPort - minPort)

// freePort listens on a port that no other call in this process returned. The start is random, so that drills that
// run at once rarely try the same ports.
func freePort(ip string) (l net.Listener, err error) {
	for range maxPort - minPort {
		at := minPort + (portOffset+portCounter.Add(1))%(maxPort-minPort)
		if l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", ip, at)); err == nil {
			break
		}
	}
	return l, err
}

// reservePort listens on a free port until the fleet starts, and returns its address.
func (f *Fleet) reservePort(ip string) (string, error) {
	l, err := freePort(ip)
	if err != nil {
		return "", err
	}
	f.reservedPorts = append(f.reservedPorts, l)
	return l.Addr().String(), nil
}

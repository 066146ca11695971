package drill

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// Ports are taken from below those that systems give to connections: one that is free for a while, because
// its process is down, must not become the near end of somebody's connection meanwhile.
const portLow, portHigh = 10000, 32000

var portNext, portFrom = new(atomic.Uint32), rand.Uint32N(portHigh - portLow)

// freePort listens at a port that no other call of this process was given.
func freePort(ip string) (l net.Listener, err error) {
	for range portHigh - portLow {
		at := portLow + (portFrom+portNext.Add(1))%(portHigh-portLow)
		if l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", ip, at)); err == nil {
			break
		}
	}
	return l, err
}

// port reserves a port of the loopback range until the fleet starts.
func (f *Fleet) port(ip string) (string, error) {
	l, err := freePort(ip)
	if err != nil {
		return "", err
	}
	f.ports = append(f.ports, l)
	return l.Addr().String(), nil
}

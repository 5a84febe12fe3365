package soaker

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
)

// The ports of hosts lie below the ephemeral range, so that no outgoing
// connection takes the port of a host while the host restarts.
const (
	lowestPort = 12000
	portCount  = 20000
)

// freePorts returns three different ports that were free when they were checked.
func freePorts() (first, second, third int, err error) {
	var ports []int
	for range portCount {
		port := lowestPort + rand.N(portCount)
		if !slices.Contains(ports, port) && isFree(port) {
			ports = append(ports, port)
		}
		if len(ports) == 3 {
			return ports[0], ports[1], ports[2], nil
		}
	}
	return 0, 0, 0, errors.New("fewer than three loopback ports are free")
}

// isFree reports whether the loopback port is free for both TCP and UDP.
func isFree(port int) bool {
	address := fmt.Sprint("127.0.0.1:", port)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return socket.Close() == nil
}

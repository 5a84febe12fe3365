package soaker

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
)

// Ports of hosts lie below those that the system gives to outgoing connections,
// since a host must get its port again when it restarts.
const (
	lowestPort = 12000
	portCount  = 20000
)

// freePorts returns ports that were free a moment ago.
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
	return 0, 0, 0, errors.New("no ports are free")
}

// isFree says whether a port takes connections and datagrams.
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

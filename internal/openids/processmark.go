package openids

import (
	"crypto/sha256"
	"fmt"
	"net"
)

// maxProcessMarks is how many processes of one router can show at the same time that they run.
const maxProcessMarks = 8

// processMark shows other processes of the same router that this one runs, even where they can't use their shared folder. It
// is a socket with an abstract name, which needs no file and which the system removes when the process ends. Nothing is sent
// to it.
type processMark struct {
	identity string // of the router
	number   int    // of this process's socket, below maxProcessMarks
	socket   net.PacketConn
}

// setProcessMark opens the first socket that is free.
func setProcessMark(identity string) (*processMark, error) {
	var err error
	for number := range maxProcessMarks {
		var socket net.PacketConn
		if socket, err = openMarkSocket(identity, number); err == nil {
			return &processMark{identity, number, socket}, nil
		}
	}
	return nil, err
}

// openMarkSocket opens a socket. The identity is hashed, as the length of names is limited.
func openMarkSocket(identity string, number int) (net.PacketConn, error) {
	name := fmt.Sprintf("@rowanyard/%x/%d", sha256.Sum256([]byte(identity)), number)
	return net.ListenUnixgram("unixgram", &net.UnixAddr{Name: name, Net: "unixgram"})
}

// othersRun reports whether another process of the router runs. Where that can't be told it reports true.
func (m *processMark) othersRun() bool {
	for number := range maxProcessMarks {
		if number == m.number {
			continue
		}
		socket, err := openMarkSocket(m.identity, number)
		if err != nil {
			return true
		}
		socket.Close()
	}
	return false
}

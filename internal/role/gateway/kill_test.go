package gateway_test

import (
	"context"
	"io"
	"net"
	"sync"
)

// sockets holds the listeners and accepted connections of a gateway's process.
type sockets struct {
	mu   sync.Mutex
	open []io.Closer
	shut bool
}

// add adds a socket. A process that was killed opens no more.
func (s *sockets) add(c io.Closer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shut {
		_ = c.Close()
		return
	}
	s.open = append(s.open, c)
}

func (s *sockets) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shut = true
	for _, c := range s.open {
		_ = c.Close()
	}
}

type socketListener struct {
	net.Listener
	sockets *sockets
}

func (l *socketListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.sockets.add(conn)
	}
	return conn, err
}

// kill ends a gateway's process as SIGKILL does, and starts another one at once. What is left
// of the former one reaches nobody.
func (f *fleet) kill(i int) {
	f.dialer(i).severed.Store(true)
	f.mu.Lock()
	killed, exit := f.sockets[i], f.exits[i]
	severedPeers := f.dialers[i].severedPeers.Load()
	delete(f.dialers, i)
	f.mu.Unlock()
	killed.close()
	f.cancels[i]()
	go func() { f.logger.Info("killed process ended", "err", <-exit) }()
	f.dialer(i).severedPeers.Store(severedPeers)
	ctx, cancel := context.WithCancel(f.t.Context())
	f.cancels[i], f.stopOnce[i], f.exits[i] = cancel, &sync.Once{}, make(chan error, 1)
	f.nodes[i] = f.run(ctx, i)
}

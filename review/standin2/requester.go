package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of a requester, as the platform defines them.
const (
	openTimeout       = 1400 * time.Millisecond
	firstRetransmit   = 200 * time.Millisecond
	maxRetransmit     = 1600 * time.Millisecond
	initialPort       = 1025
	requestTimeBudget = 3 * time.Second
)

// requester is a client machine. Its flows share a socket.
type requester struct {
	zone       string
	address    netip.Addr
	packetPort uint16
	routers    *routers
	rec        *recorder
	traffic    *traffic
	socket     *net.UDPConn

	mu       sync.Mutex
	nextPort uint16
	flows    map[uint16]*flow
}

// flow is a flow at its requester.
type flow struct {
	r       *requester
	route   *routeSpec
	local   netip.AddrPort
	packets chan packet
	// seq is the number of the next byte to send, ack that of the next expected byte.
	seq, ack uint32
	// echo is the last echo that was received on the flow.
	echo uint32
	open bool
	// end is the endpoint of the open flow.
	end netip.AddrPort
	// reset reports that the flow was reset.
	reset bool
}

func (r *requester) listen() (err error) {
	r.flows, r.nextPort = map[uint16]*flow{}, initialPort
	r.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(r.address, r.packetPort)))
	if err != nil {
		return err
	}
	go r.receive()
	return nil
}

func (r *requester) receive() {
	b := make([]byte, 2048)
	for {
		n, sender, err := r.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok {
			continue
		}
		p.sender = sender
		r.mu.Lock()
		f := r.flows[p.to.Port()]
		r.mu.Unlock()
		if f != nil {
			select {
			case f.packets <- p:
			default:
			}
		}
	}
}

// newFlow returns a flow from a new port.
func (r *requester) newFlow(route *routeSpec) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	port := r.nextPort
	r.nextPort++
	f := &flow{r: r, route: route, local: netip.AddrPortFrom(r.address, port), packets: make(chan packet, 256), seq: rand.Uint32()}
	r.flows[port] = f
	return f
}

// forget ends the flow at the requester without a packet.
func (f *flow) forget() {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	delete(f.r.flows, f.local.Port())
}

func (f *flow) send(flags byte, ack uint32, data []byte) {
	p := packet{from: f.local, to: f.route.address, echo: f.echo, flags: flags, seq: f.seq, ack: ack, data: data}
	if host := f.r.routers.route(f.r.zone, f.local); host.IsValid() {
		_, _ = f.r.socket.WriteToUDPAddrPort(p.encode(), host)
	}
}

// connect opens the flow. It reports whether an endpoint accepted it.
func (f *flow) connect(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	for copies, wait := range []time.Duration{firstRetransmit, 2 * firstRetransmit, openTimeout} {
		f.r.traffic.sending(f.local, uint32(copies))
		f.send(bitSYN, uint32(copies), nil)
		p, ok := f.next(ctx, wait, func(p *packet) bool { return p.flags == bitSYN|bitACK })
		if f.reset || ctx.Err() != nil {
			return false
		}
		if !ok {
			continue
		}
		f.open, f.end, f.ack = true, p.sender, p.seq+1
		f.seq++
		f.send(bitACK, f.ack, nil)
		return true
	}
	return false
}

// next returns the next packet that matches. Every packet of the flow brings its last echo.
func (f *flow) next(ctx context.Context, wait time.Duration, match func(*packet) bool) (p packet, ok bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return p, false
		case <-timer.C:
			return p, false
		case p = <-f.packets:
		}
		if p.flags&bitRST != 0 {
			f.reset = true
			f.r.traffic.wasReset(f, &p)
			return p, false
		}
		f.echo = p.echo
		if match(&p) {
			return p, true
		}
	}
}

// request sends a request on the flow and reports whether it was answered in whole.
func (f *flow) request(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, requestTimeBudget)
	defer cancel()
	text := fmt.Appendf(nil, "GET / HTTP/1.1\r\nX-Cactuspin-Request-Id: %s\r\nX-Route: %s\r\nX-Size: %d\r\n\r\n", id, f.route.name, f.route.size)
	f.r.rec.add("sent %s on flow %s", id, f.local)
	var answer []byte
	for wait := firstRetransmit; len(answer) == 0; wait = min(2*wait, maxRetransmit) {
		f.send(bitACK, f.ack, text)
		if p, ok := f.next(ctx, wait, f.isNext); ok {
			answer = f.take(&p, answer)
		}
		if f.reset || ctx.Err() != nil {
			f.r.rec.add("unanswered %s, reset %t", id, f.reset)
			return false
		}
	}
	for !complete(answer) {
		p, ok := f.next(ctx, requestTimeBudget, f.isNext)
		if !ok {
			f.r.rec.add("broken off %s, reset %t", id, f.reset)
			return false
		}
		answer = f.take(&p, answer)
	}
	f.seq += uint32(len(text))
	f.send(bitACK, f.ack, nil)
	f.r.rec.add("answered %s by %s", id, f.end)
	return true
}

func (f *flow) isNext(p *packet) bool { return len(p.data) > 0 && p.seq == f.ack && p.sender == f.end }

func (f *flow) take(p *packet, answer []byte) []byte {
	f.ack += uint32(len(p.data))
	return append(answer, p.data...)
}

// close closes the flow.
func (f *flow) close() {
	f.send(bitFIN|bitACK, f.ack, nil)
	f.forget()
}

// complete reports whether an answer has all its bytes.
func complete(b []byte) bool {
	head, body, found := strings.Cut(string(b), "\r\n\r\n")
	_, length, hasLength := strings.Cut(head, "Content-Length: ")
	n, err := strconv.Atoi(length)
	return found && hasLength && err == nil && len(body) >= n
}

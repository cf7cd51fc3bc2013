package intake

import "time"

// Limits are what the callers of a process may occupy together.
type Limits struct {
	// Connections is the number of connections that may be open at the same time.
	Connections int
	// Bytes bounds the memory for requests: their headers, bodies and jobs.
	Bytes int64
	// ReceiveBuffer is the size, in bytes, that the receive buffer of each connection should have,
	// since bytes that weren't read yet count as memory of the process.
	ReceiveBuffer int
}

const (
	kib = 1 << 10
	mib = 1 << 20

	// ownMemory is the memory that a process needs for itself.
	ownMemory = 32 * mib
	// connectionMemory is what a connection takes besides its receive buffer: two goroutines,
	// buffers for reading and writing, and an ordinary header.
	connectionMemory = 24 * kib
	// receiveBuffer is the size that is asked for. Linux lets half as much again arrive in it, and
	// receiveMemory leaves room for the packets' own size.
	receiveBuffer = 8 * kib
	receiveMemory = 2 * receiveBuffer
	// connectionShare and bytesShare are the parts of the memory beyond ownMemory that
	// connections and requests may take. The rest is for the jobs of other entries and agents,
	// decoding, and garbage that isn't collected yet.
	connectionShare = 1.0 / 3
	bytesShare      = 1.0 / 6

	// minConnections and minBytes serve ordinary callers of a process whose settings leave
	// nearly nothing.
	minConnections = 64
	minBytes       = 4 * mib

	// unknownMemory and unknownDescriptors are taken as the limits of a process whose settings
	// have none.
	unknownMemory      = 256 * mib
	unknownDescriptors = 1024

	// fileDescriptors is the number of descriptors that the platform reserves for files, and
	// ownShare the part of the others that is kept for connections to other processes, the
	// store and the other listeners, at least minOwnSockets.
	fileDescriptors = 200
	ownShare        = 0.25
	minOwnSockets   = 64
)

// LimitsFor returns the limits that follow from the limits of the process: its memory in bytes,
// and its descriptors; 0 if there is none.
func LimitsFor(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = unknownMemory
	}
	free := float64(max(memory-ownMemory, 0))
	affordable := int(connectionShare * free / (connectionMemory + receiveMemory))
	return Limits{
		Connections:   max(min(affordable, sockets(descriptors)-OwnSockets(descriptors)), minConnections),
		Bytes:         max(int64(bytesShare*free), minBytes),
		ReceiveBuffer: receiveBuffer,
	}
}

// OwnSockets returns how many sockets are kept for connections other than those of callers, of the
// descriptors that the process may use; 0 if there is no limit.
func OwnSockets(descriptors int) int {
	return max(int(ownShare*float64(sockets(descriptors))), minOwnSockets)
}

// sockets returns how many sockets the process may have.
func sockets(descriptors int) int {
	if descriptors <= 0 {
		descriptors = unknownDescriptors
	}
	return descriptors - fileDescriptors
}

// Rules are the limits of a single request, which operators set.
type Rules struct {
	// MaxHeaderBytes is the size of the largest header.
	MaxHeaderBytes int64
	// HeaderTimeout is how long a caller may take to send a header, from its first byte.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout time.Duration
}

// DefaultRules apply where the operators give none.
var DefaultRules = Rules{MaxHeaderBytes: 64 * kib, HeaderTimeout: 5 * time.Second, IdleTimeout: 75 * time.Second}

// withDefaults returns the rules with the default in place of each that is 0.
func (r Rules) withDefaults() Rules {
	if r.MaxHeaderBytes <= 0 {
		r.MaxHeaderBytes = DefaultRules.MaxHeaderBytes
	}
	if r.HeaderTimeout <= 0 {
		r.HeaderTimeout = DefaultRules.HeaderTimeout
	}
	if r.IdleTimeout <= 0 {
		r.IdleTimeout = DefaultRules.IdleTimeout
	}
	return r
}

// Times of a body. A body that keeps the least rate from its start is never late, and one of 256
// KiB may take 74 s.
const (
	// bodyGrace is how long a body may take beyond the time for what has arrived at leastRate.
	bodyGrace = 10 * time.Second
	// leastRate is in bytes a second.
	leastRate = 4 * kib
	// maxSilence is how long nothing of a body may arrive.
	maxSilence = 10 * time.Second
	// stalledAfter is how long a request must have made no progress to give way to another one.
	stalledAfter = 250 * time.Millisecond
	// progressBytes is how much of a body has to arrive to count as progress, so that single
	// bytes don't.
	progressBytes = 4 * kib
	// lingerTime is how long a refused caller may go on sending, so that it gets to read the
	// answer: a connection that is closed while bytes arrive is reset.
	lingerTime = time.Second
)

const (
	// smallRequest is the largest charge of a request for which room is kept. An ordinary job is
	// a tenth of it.
	smallRequest = 16 * kib
	// largeShare is the part of Limits.Bytes that large requests may take together.
	largeShare = 0.75
	// headerAllowance is the memory of a header that counts as part of its connection.
	headerAllowance = 4 * kib
	// headerLineMemory is what a header field takes besides its bytes: its place in a map that
	// has grown, and its list of values.
	headerLineMemory = 192
	// headerByteFactor is how often a byte of a header is held: as read, and as a string.
	headerByteFactor = 2
	// ReadAhead is how much of what comes next may be read together with a header or a body, in bytes:
	// the buffer of net/http.
	ReadAhead = 4 * kib
)

// Package intake is the decision core for what the callers of a process may occupy in it before
// their jobs are accepted: connections, and memory for headers, bodies and jobs. It has no
// sockets and no clock; package daemon reads the connections and carries its decisions out.
// docs/design/intake.md has the reasons.
//
// Callers aren't trusted. They may declare more than they send, stop in the middle, send a byte at
// a time or stay connected for nothing. So a request is charged with what has arrived, weighted by
// what it takes in memory, and each phase of a connection has a deadline. When room is short, those
// give way that have made no progress for longest; the one that asks is refused if all others make
// progress.
//
// Invariants:
//   - No more connections are open than Limits.Connections.
//   - The charges of all connections are at most Limits.Bytes, but for one large request that is
//     alone.
//   - Large requests together leave a quarter of Limits.Bytes to small ones, also that one.
//   - A request that is shed has not been passed on: only those whose bodies are whole are, and
//     these are never shed.
package intake

package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"

	"foxtaildock.example/bench/usersite"
)

// MaxBody and MaxHeader are the largest body and header of a request, in bytes, that the
// manifest of a site allows.
const (
	MaxBody   = 262_144
	MaxHeader = 16_384
)

// head returns the start of a request that submits the job: its request line and header fields,
// without the empty line after them.
func head(id string, fields ...string) string {
	lines := append([]string{
		"POST " + usersite.Prefix + id + " HTTP/1.1", "Host: " + usersite.Host,
		"Content-Type: application/json", "Deadline-Ms: 1500",
	}, fields...)
	return strings.Join(lines, "\r\n") + "\r\n"
}

// sized returns the whole header of a request with a body of n bytes.
func sized(id string, n int) string { return head(id, fmt.Sprintf("Content-Length: %d", n)) + "\r\n" }

// chunked returns the whole header of a request with a chunked body.
func chunked(id string) string { return head(id, "Transfer-Encoding: chunked") + "\r\n" }

// padded returns a legal job of one short task as a body of n bytes.
func padded(n int) []byte {
	const job = `{"spec":"work","bestEffort":true,"steps":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":20}]}`
	return append(bytes.Repeat([]byte(" "), n-len(job)), job...)
}

// lightSpec and freeSpec are the specs of tasks that need a tenth of a core, and nothing.
const (
	lightSpec = "light"
	freeSpec  = "free"
)

// manySteps returns a job of n steps of one light task each.
func manySteps(n int) []byte {
	step := `{"count":1,"cpu":100}`
	return []byte(`{"spec":"` + lightSpec + `","bestEffort":true,"steps":[` + strings.Repeat(step+",", n-1) + step + `]}`)
}

// manyTasks returns a job of one step of n tasks that need nothing.
func manyTasks(n int) []byte {
	return fmt.Appendf(nil, `{"spec":%q,"bestEffort":true,"steps":[{"count":%d}]}`, freeSpec, n)
}

// longSpec returns a job of n tasks whose spec has the given length.
func longSpec(tasks, length int) []byte {
	return fmt.Appendf(nil, `{"spec":%q,"bestEffort":true,"steps":[{"count":%d,"cpu":1000,"memMb":64}]}`, strings.Repeat("s", length), tasks)
}

// shortFields returns header fields of n bytes in all, each as short as it can be with a name of
// its own.
func shortFields(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%s:\r\n", fieldName(i))
	}
	return b.Bytes()[:n]
}

// wholeFields returns at most n bytes of such fields, of which none is cut.
func wholeFields(n int) []byte {
	fields := shortFields(n)
	return fields[:bytes.LastIndex(fields, []byte("\r\n"))+2]
}

// unfinished sends a request with a body of the largest size but for its last byte.
func unfinished(caller int, conn net.Conn) error {
	_, err := fmt.Fprintf(conn, "%s%s", sized(crowdID(caller), MaxBody), largest[:MaxBody-1])
	return err
}

// largest is a legal job as a body of the largest size.
var largest = padded(MaxBody)

// crowdID returns the ID of a job of a crowd.
func crowdID(caller int) string { return fmt.Sprintf("c%015x", caller) }

// readStatus reads the beginning of an answer and returns its status, or the error of a connection
// that ends before.
func readStatus(conn net.Conn) (string, error) {
	line := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(conn, line); err != nil {
		return "", err
	}
	return strings.TrimPrefix(string(line), "HTTP/1.1 "), nil
}

// fieldName returns the i-th of the shortest names.
func fieldName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	name := ""
	for i >= 0 {
		name += string(letters[i%len(letters)])
		i = i/len(letters) - 1
	}
	return name
}

// writeChunks writes the data in chunks of n bytes, without the last chunk. It sends many chunks
// at a time.
func writeChunks(conn net.Conn, data []byte, n int) error {
	var b bytes.Buffer
	for len(data) > 0 {
		chunk := data[:min(n, len(data))]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(chunk), chunk)
		data = data[len(chunk):]
	}
	_, err := conn.Write(b.Bytes())
	return err
}

package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
)

// namePattern matches the names of failure domains and cells. They are used in table
// keys, metrics and reports.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// hashPattern matches a SHA-256 in hexadecimal.
var hashPattern = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)

// ipRule says which IP addresses are allowed.
type ipRule int

const (
	// mayBeAnyIP also allows 0.0.0.0 and ::, to listen on every interface.
	mayBeAnyIP ipRule = iota
	// mustBeOneIP allows only an IP address that others can connect to.
	mustBeOneIP
)

// intRule is the default and the bounds, both inclusive, of an integer.
type intRule struct{ def, min, max int64 }

// durationRule is the default and the bounds, both inclusive, of a duration.
type durationRule struct{ def, min, max time.Duration }

// name reads a required name.
func (f *file) name(section, key, example string) string {
	text, line, ok := f.requiredString(section, key, example)
	if ok && !namePattern.MatchString(text) {
		f.report(line, joinPath(section, key),
			fmt.Sprintf("%q is not a valid name; use 1 to 63 lower-case letters, digits and inner hyphens, such as %q", text, example))
	}
	return text
}

// address reads a required IP address with its port.
func (f *file) address(section, key string, rule ipRule) netip.AddrPort {
	text, line, ok := f.requiredString(section, key, "10.0.0.5:7100")
	if !ok {
		return netip.AddrPort{}
	}
	return f.parseAddress(joinPath(section, key), text, line, rule)
}

// addresses reads an optional list of addresses.
func (f *file) addresses(section, key string) []netip.AddrPort {
	got, ok := f.find(section, key)
	if !ok {
		return nil
	}
	path := joinPath(section, key)
	if got.value.kind != unstable.Array {
		f.report(got.line, path, `must be a list such as ["10.0.0.5:7100", "10.0.0.6:7100"]`)
		return nil
	}
	var list []netip.AddrPort
	for i, item := range got.value.items {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		if item.kind != unstable.String {
			f.report(got.line, itemPath, `must be a string such as "10.0.0.5:7100"`)
			continue
		}
		address := f.parseAddress(itemPath, item.text, got.line, mustBeOneIP)
		if address.IsValid() && slices.Contains(list, address) {
			f.report(got.line, itemPath, fmt.Sprintf("%s is listed twice; remove the duplicate", address))
		}
		list = append(list, address)
	}
	return list
}

func (f *file) parseAddress(path, text string, line int, rule ipRule) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		f.report(line, path, fmt.Sprintf("%q is not an IP address with a port; write it as \"10.0.0.5:7100\" or \"[fd00::5]:7100\"", text))
		return netip.AddrPort{}
	case address.Port() == 0:
		f.report(line, path, fmt.Sprintf("%q has port 0; choose a port from 1 to 65535", text))
		return netip.AddrPort{}
	case rule == mustBeOneIP && address.Addr().IsUnspecified():
		f.report(line, path, fmt.Sprintf("%q means every interface, but other processes must be able to connect to this address; write one IP address", text))
		return netip.AddrPort{}
	}
	return address
}

// choice reads an optional string that must be one of a list.
func (f *file) choice(section, key, def string, allowed []string) string {
	got, ok := f.find(section, key)
	if !ok {
		return def
	}
	if got.value.kind != unstable.String || !slices.Contains(allowed, got.value.text) {
		f.report(got.line, joinPath(section, key),
			fmt.Sprintf("%q is not allowed; choose one of %s", got.value.text, strings.Join(allowed, ", ")))
	}
	return got.value.text
}

// hexHash reads an optional SHA-256 in hexadecimal.
func (f *file) hexHash(section, key string) string {
	got, ok := f.find(section, key)
	if !ok {
		return ""
	}
	if got.value.kind != unstable.String || !hashPattern.MatchString(got.value.text) {
		f.report(got.line, joinPath(section, key), "must be a string of 64 hexadecimal digits, as sha256sum prints it")
	}
	return strings.ToLower(got.value.text)
}

// integer reads an optional integer.
func (f *file) integer(section, key string, rule intRule) int64 {
	got, ok := f.find(section, key)
	if !ok {
		return rule.def
	}
	path := joinPath(section, key)
	if got.value.kind != unstable.Integer {
		f.report(got.line, path, fmt.Sprintf("must be an integer without quotes, such as %d", rule.def))
		return rule.def
	}
	n, err := strconv.ParseInt(got.value.text, 0, 64)
	if err != nil || n < rule.min || n > rule.max {
		f.report(got.line, path, fmt.Sprintf("%s is out of range; choose %d to %d (default %d)",
			got.value.text, rule.min, rule.max, rule.def))
	}
	return n
}

// duration reads an optional duration.
func (f *file) duration(section, key string, rule durationRule) time.Duration {
	got, ok := f.find(section, key)
	if !ok {
		return rule.def
	}
	path := joinPath(section, key)
	if got.value.kind != unstable.String {
		f.report(got.line, path, fmt.Sprintf("must be a duration in quotes with a unit, such as %q", rule.def))
		return rule.def
	}
	d, err := time.ParseDuration(got.value.text)
	switch {
	case err != nil:
		f.report(got.line, path, fmt.Sprintf("%q is not a duration; write a number and a unit (ms, s, m), such as %q",
			got.value.text, rule.def))
	case d < rule.min || d > rule.max:
		f.report(got.line, path, fmt.Sprintf("%q is out of range; choose %s to %s (default %s)",
			got.value.text, rule.min, rule.max, rule.def))
	}
	return d
}

// requiredString reads a required string. It returns false, and reports the problem,
// if the string is missing or empty.
func (f *file) requiredString(section, key, example string) (text string, line int, ok bool) {
	got, ok := f.find(section, key)
	if !ok {
		f.missing(section, key, example)
		return "", 0, false
	}
	if got.value.kind != unstable.String || got.value.text == "" {
		f.report(got.line, joinPath(section, key), fmt.Sprintf("must be a non-empty string such as %q", example))
		return "", got.line, false
	}
	return got.value.text, got.line, true
}

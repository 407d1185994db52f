package loader

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"strings"
)

// minKeyBytes is the minimum length of the peers' shared key, the output size of SHA-256.
const minKeyBytes = 32

var labelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// checks maps the rules named in check tags to their functions, which return a fault message, or "" for a valid text.
var checks = map[string]func(text string) string{
	"label":    checkLabel,
	"address":  checkAddress,
	"url":      checkURL,
	"key":      checkKey,
	"sha256":   checkSHA256,
	"logLevel": checkLogLevel,
}

// check applies the tags of all fields of the settings, then the rules that involve several fields.
func (d *decoder) check(settings *Settings) {
	d.checkStruct("", reflect.ValueOf(*settings))
	d.checkRelations(settings)
}

func (d *decoder) checkStruct(path string, target reflect.Value) {
	for i := range target.NumField() {
		f := target.Type().Field(i)
		d.checkField(join(path, f.Tag.Get("json")), target.Field(i), f.Tag)
	}
}

func (d *decoder) checkField(path string, value reflect.Value, tag reflect.StructTag) {
	switch value.Kind() {
	case reflect.Struct:
		d.checkStruct(path, value)
	case reflect.Slice:
		for i := range value.Len() {
			d.checkItem(fmt.Sprintf("%s[%d]", path, i), value.Index(i), tag)
		}
	case reflect.String:
		d.checkText(path, value.String(), tag.Get("check"))
	case reflect.Int64:
		d.checkRange(path, value.Int(), tag)
	}
}

func (d *decoder) checkItem(path string, value reflect.Value, tag reflect.StructTag) {
	if value.Kind() == reflect.Struct {
		d.checkStruct(path, value)
		return
	}
	d.checkText(path, value.String(), tag.Get("check"))
}

// checkText applies a check tag: the name of a rule, "optional", or both separated by a comma.
func (d *decoder) checkText(path, text, tag string) {
	rule, optional := strings.CutSuffix(tag, ",optional")
	optional = optional || rule == "optional"
	if text == "" {
		if !optional {
			d.missing(path)
		}
		return
	}
	checkRule, ok := checks[rule]
	if !ok {
		return
	}
	if message := checkRule(text); message != "" {
		d.faultAt(path, "%s", message)
	}
}

func (d *decoder) checkRange(path string, n int64, tag reflect.StructTag) {
	low, _ := strconv.ParseInt(tag.Get("min"), 10, 64)
	high, _ := strconv.ParseInt(tag.Get("max"), 10, 64)
	if n < low || n > high {
		d.faultAt(path, "want%s %d to %d, got %d", unitOf(path), low, high, n)
	}
}

// faultAt adds a fault at the position of the value at path, or of the closest enclosing value if the file
// doesn't contain it. It adds none if the path already has a fault.
func (d *decoder) faultAt(path, format string, args ...any) {
	for _, f := range d.faults {
		if f.Path == path {
			return
		}
	}
	offset, present := d.positions[path]
	for ancestor := path; !present && ancestor != ""; {
		ancestor = parentOf(ancestor)
		offset, present = d.positions[ancestor]
	}
	d.fault(path, offset, format, args...)
}

// missing adds a fault for a required value that is missing or empty. A missing value is not reported if its parent
// already has a fault.
func (d *decoder) missing(path string) {
	if _, present := d.positions[path]; present {
		d.faultAt(path, "must not be empty")
		return
	}
	for _, f := range d.faults {
		if f.Path == parentOf(path) {
			return
		}
	}
	d.faultAt(path, "missing")
}

// parentOf returns the path of the object that contains the field.
func parentOf(path string) string {
	return path[:max(strings.LastIndexByte(path, '.'), 0)]
}

// checkRelations applies the rules that involve several fields.
func (d *decoder) checkRelations(s *Settings) {
	d.checkDistinct([]pathValue{
		{"callerAddress", s.CallerAddress},
		{"operatorAddress", s.OperatorAddress},
		{"peerAddress", s.PeerAddress},
	}, "callers, operators and peers need separate addresses")
	d.checkTimeouts(s)
	d.checkDrain(s)
	d.checkMemory(s)
	d.checkCertificate("tls.caller", s.TLS.Caller)
	d.checkCertificate("tls.operator", s.TLS.Operator)
	if s.SharedKey != "" && s.SharedKeyFile != "" {
		d.faultAt("sharedKeyFile", "give sharedKey or sharedKeyFile, not both")
	}
	if s.SharedKey == "" && s.SharedKeyFile == "" {
		d.missing("sharedKey")
	}
	operators := make([]pathValue, len(s.Operators))
	for i, o := range s.Operators {
		operators[i] = pathValue{fmt.Sprintf("operators[%d].name", i), o.Name}
	}
	d.checkDistinct(operators, "each operator needs a name of its own")
	if len(s.Operators) == 0 {
		d.missing("operators")
	}
}

// checkTimeouts checks the order of heartbeatMillis, suspectMillis and deadMillis.
func (d *decoder) checkTimeouts(s *Settings) {
	if s.SuspectMillis < 2*s.HeartbeatMillis {
		d.faultAt(d.firstPresent("suspectMillis", "heartbeatMillis"),
			"suspectMillis (%d) must be at least twice heartbeatMillis (%d)", s.SuspectMillis, s.HeartbeatMillis)
	}
	if s.DeadMillis <= s.SuspectMillis {
		d.faultAt(d.firstPresent("deadMillis", "suspectMillis"),
			"deadMillis (%d) must be more than suspectMillis (%d)", s.DeadMillis, s.SuspectMillis)
	}
}

// checkDrain requires that a planned stop lasts until no peer can still return this entry's address to callers. With a
// shorter time, a caller could be sent to a closed socket.
func (d *decoder) checkDrain(s *Settings) {
	if s.DrainMillis < s.SuspectMillis {
		d.faultAt(d.firstPresent("drainMillis", "suspectMillis"),
			"drainMillis (%d) must be at least suspectMillis (%d)", s.DrainMillis, s.SuspectMillis)
	}
}

// minMemoryBodies is how many bodies of maximum size the memory must have room for: one is held several times, by a part of it.
const minMemoryBodies = 32

// checkMemory requires that one body of maximum size can be served.
func (d *decoder) checkMemory(s *Settings) {
	if s.MemoryBytes < minMemoryBodies*s.MaxBodyBytes {
		d.faultAt(d.firstPresent("memoryBytes", "maxBodyBytes"),
			"memoryBytes (%d) must be at least %d times maxBodyBytes (%d)", s.MemoryBytes, minMemoryBodies, s.MaxBodyBytes)
	}
}

// firstPresent returns path if the file contains it, otherwise other.
func (d *decoder) firstPresent(path, other string) string {
	if _, ok := d.positions[path]; ok {
		return path
	}
	return other
}

func (d *decoder) checkCertificate(path string, c Certificate) {
	if c.CertFile != "" && c.KeyFile == "" {
		d.faultAt(path+".keyFile", "missing beside certFile")
	}
	if c.KeyFile != "" && c.CertFile == "" {
		d.faultAt(path+".certFile", "missing beside keyFile")
	}
}

// pathValue is a value with its path.
type pathValue struct {
	path  string
	value string
}

func (d *decoder) checkDistinct(values []pathValue, rule string) {
	firstPaths := map[string]string{}
	for _, v := range values {
		if v.value == "" {
			continue
		}
		if other, found := firstPaths[v.value]; found {
			d.faultAt(v.path, "same as %s; %s", other, rule)
			continue
		}
		firstPaths[v.value] = v.path
	}
}

func checkLabel(text string) string {
	if labelPattern.MatchString(text) {
		return ""
	}
	return "want 1 to 64 letters, digits, dots, dashes or underscores, beginning with a letter or digit"
}

func checkAddress(text string) string {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Sprintf("want an IP number and port such as 10.0.0.7:8080, got %q", text)
	}
	if address.Port() == 0 {
		return "want a port above 0"
	}
	return ""
}

func checkURL(text string) string {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return "want a URL such as http://10.0.0.9:9000"
	}
	if u.User != nil {
		return "want a URL without a user name or password"
	}
	return ""
}

func checkKey(text string) string {
	key, err := hex.DecodeString(text)
	if err != nil {
		return "want hex digits, two for each byte"
	}
	if len(key) < minKeyBytes {
		return fmt.Sprintf("want at least %d bytes as %d hex digits, got %d bytes", minKeyBytes, 2*minKeyBytes, len(key))
	}
	return ""
}

func checkSHA256(text string) string {
	sum, err := hex.DecodeString(text)
	if err != nil || len(sum) != minKeyBytes {
		return "want the 64 hex digits that `geraniumline credential new` prints"
	}
	return ""
}

func checkLogLevel(text string) string {
	switch text {
	case "debug", "info", "warn", "error":
		return ""
	}
	return `want "debug", "info", "warn" or "error"`
}

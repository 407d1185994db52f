package loader

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"sort"

	"github.com/tailscale/hujson"
)

// maxFileBytes limits the size of a settings file, and thereby the depth and memory of the parser.
const maxFileBytes = 256 << 10

// UnreadableError reports a file that could not be read.
type UnreadableError struct {
	File string
	Err  error
}

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("can't read %s: %v", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Err }

// Load reads and checks a settings file and the key file named in sharedKeyFile. It returns a *FaultsError for faults
// in the settings, including an unusable key file, and an *UnreadableError if the settings file can't be read.
func Load(path string) (Settings, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &UnreadableError{File: path, Err: err}
	}
	return parse(src, os.ReadFile)
}

// Parse decodes and checks the text of a settings file. It reads no other file: if sharedKeyFile is set, SharedKey
// stays empty. All faults are returned in one *FaultsError.
func Parse(src []byte) (Settings, error) {
	return parse(src, nil)
}

func parse(src []byte, readFile func(string) ([]byte, error)) (Settings, error) {
	tree, err := parseTree(src, maxFileBytes)
	if err != nil {
		return Settings{}, err
	}
	settings := Defaults()
	d := decoder{src: src, positions: map[string]int{}}
	d.value("", tree, reflect.ValueOf(&settings).Elem())
	d.check(&settings)
	if readFile != nil && settings.SharedKeyFile != "" && settings.SharedKey == "" {
		d.readKey(&settings, readFile)
	}
	if len(d.faults) > 0 {
		sortFaults(d.faults)
		return Settings{}, &FaultsError{Faults: d.faults}
	}
	return settings, nil
}

// Decode decodes JSON with comments into target, a pointer to a struct of strings, int64s, slices and structs, and checks
// it by the same tags as settings. Fields that src doesn't contain keep their values. All faults are returned in one
// *FaultsError.
func Decode(src []byte, target any) error {
	tree, err := parseTree(src, maxFileBytes)
	if err != nil {
		return err
	}
	d := decoder{src: src, positions: map[string]int{}}
	value := reflect.ValueOf(target).Elem()
	d.value("", tree, value)
	d.checkStruct("", value)
	if len(d.faults) > 0 {
		sortFaults(d.faults)
		return &FaultsError{Faults: d.faults}
	}
	return nil
}

// parseTree parses JSON with comments. It returns a *FaultsError if src is too long or has a syntax error.
func parseTree(src []byte, maxBytes int) (hujson.Value, error) {
	if len(src) > maxBytes {
		message := fmt.Sprintf("want at most %d bytes, got %d", maxBytes, len(src))
		return hujson.Value{}, &FaultsError{Faults: []Fault{{Message: message}}}
	}
	tree, err := hujson.Parse(src)
	if err != nil {
		return hujson.Value{}, &FaultsError{Faults: []Fault{syntaxFault(err)}}
	}
	return tree, nil
}

// readKey reads the shared key from the file named in sharedKeyFile.
func (d *decoder) readKey(s *Settings, readFile func(string) ([]byte, error)) {
	text, err := readFile(s.SharedKeyFile)
	if err != nil {
		d.faultAt("sharedKeyFile", "can't be read: %v", err)
		return
	}
	key := string(bytes.TrimSpace(text))
	if message := checkKey(key); message != "" {
		d.faultAt("sharedKeyFile", "in the file it names: %s", message)
		return
	}
	s.SharedKey = Secret(key)
}

// sortFaults sorts faults by their position in the file, those without a position last.
func sortFaults(faults []Fault) {
	sort.SliceStable(faults, func(i, j int) bool {
		a, b := faults[i], faults[j]
		if (a.Line == 0) != (b.Line == 0) {
			return b.Line == 0
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}

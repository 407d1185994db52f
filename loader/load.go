package loader

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"sort"

	"github.com/tailscale/hujson"
)

// maxFileBytes bounds a settings file; the parser's depth and memory follow from it.
const maxFileBytes = 256 << 10

// UnreadableError tells that a file could not be read.
type UnreadableError struct {
	File string
	Err  error
}

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("can't read %s: %v", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Err }

// Load reads and checks a settings file, and the file that sharedKeyFile names.
// It returns a *FaultsError for faults in the file and an *UnreadableError for a file that can't be read.
func Load(path string) (Settings, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &UnreadableError{File: path, Err: err}
	}
	return parse(src, os.ReadFile)
}

// Parse checks the text of a settings file. It reads no other file: where sharedKeyFile is given,
// SharedKey stays empty. Faults come as one *FaultsError.
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

// Decode reads JSON with comments into the target, a pointer to a struct of texts, int64s, lists and structs, and checks it
// by its tags as settings are. Fields that the text does not give stay as they are. Faults come as one *FaultsError.
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

// parseTree fails with a *FaultsError for a text that is too long or no JSON with comments.
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

// readKey takes the shared key from its file.
func (d *decoder) readKey(s *Settings, readFile func(string) ([]byte, error)) {
	text, err := readFile(s.SharedKeyFile)
	if err != nil {
		d.faultAt("sharedKeyFile", "can't be read: %v", err)
		return
	}
	key := string(bytes.TrimSpace(text))
	if wrong := checkKey(key); wrong != "" {
		d.faultAt("sharedKeyFile", "in the file it names: %s", wrong)
		return
	}
	s.SharedKey = Secret(key)
}

// sortFaults orders faults as a reader of the file meets them, those without a place last.
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

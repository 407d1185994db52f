package surveyor

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"geraniumline/starter"
)

// The names of the slopes that are measured on whole processes.
const (
	IdleMegabytes    = "idleMegabytes"
	IdleCorePercent  = "idleCorePercent"
	IdleControlBytes = "idleControlBytes"
)

const (
	fleetReady = 60 * time.Second
	// fleetSettle lets the fleet come to rest before it is measured for fleetSpan.
	fleetSettle = 3 * time.Second
	fleetSpan   = 5 * time.Second
	// ticksPerSecond is the kernel's unit of processor time in /proc.
	ticksPerSecond = 100
	kilobyte       = 1024
)

// fleetSizes are the counts of entry processes.
func fleetSizes() []int { return []int{3, 7, 20, 40} }

// usage is what entries used within a second, as means over the fleet.
type usage struct {
	megabytes    float64
	corePercent  float64
	controlBytes float64
}

// RunFleet measures idle entries as processes of their own: memory, processor time and the bytes that they
// send to each other, in fleets of several sizes.
func RunFleet(ctx context.Context, bin string, progress func(Slope)) ([]Slope, error) {
	used := map[int]usage{}
	for _, n := range fleetSizes() {
		u, err := measureFleet(ctx, bin, n)
		if err != nil {
			return nil, err
		}
		used[n] = u
	}
	per := "entry in the system"
	measurements := []measurement{
		{IdleMegabytes, "MB", per, fleetSizes(), func(n int) float64 { return used[n].megabytes }},
		{IdleCorePercent, "% of a core", per, fleetSizes(), func(n int) float64 { return used[n].corePercent }},
		{IdleControlBytes, "bytes a second", per, fleetSizes(), func(n int) float64 { return used[n].controlBytes }},
	}
	var slopes []Slope
	for _, m := range measurements {
		slope := m.take()
		progress(slope)
		slopes = append(slopes, slope)
	}
	return slopes, nil
}

func measureFleet(ctx context.Context, bin string, n int) (u usage, err error) {
	dir, err := os.MkdirTemp("", "geraniumline-capacity-")
	if err != nil {
		return usage{}, err
	}
	fleet, err := starter.Start(ctx, starter.Config{Bin: bin, Dir: dir, Entries: n, Zones: 3})
	if err != nil {
		return usage{}, err
	}
	defer func() { err = errors.Join(err, fleet.Stop(), os.RemoveAll(dir)) }()
	if err := fleet.AwaitReady(ctx, fleetReady); err != nil {
		return usage{}, err
	}
	time.Sleep(fleetSettle)
	before, err := sample(ctx, fleet)
	if err != nil {
		return usage{}, err
	}
	time.Sleep(fleetSpan)
	after, err := sample(ctx, fleet)
	if err != nil {
		return usage{}, err
	}
	seconds := fleetSpan.Seconds() * float64(n)
	return usage{
		megabytes:    after.megabytes / float64(n),
		corePercent:  100 * (after.corePercent - before.corePercent) / seconds,
		controlBytes: (after.controlBytes - before.controlBytes) / seconds,
	}, nil
}

// sample adds up what all entries have used so far: memory now, processor seconds, bytes sent.
func sample(ctx context.Context, fleet *starter.Fleet) (usage, error) {
	var total usage
	for _, entry := range fleet.Entries() {
		memory, err := residentMegabytes(entry.PID())
		if err != nil {
			return usage{}, err
		}
		seconds, err := processorSeconds(entry.PID())
		if err != nil {
			return usage{}, err
		}
		sent, err := fleet.Metric(ctx, entry, peerBytesSent)
		if err != nil {
			return usage{}, err
		}
		total.megabytes += memory
		total.corePercent += seconds
		total.controlBytes += sent
	}
	return total, nil
}

// peerBytesSent is the metric of bytes written to peers.
const peerBytesSent = "geraniumline_peer_bytes_sent"

// residentMegabytes reads a process's resident memory.
func residentMegabytes(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "VmRSS:" {
			kilobytes, err := strconv.ParseFloat(fields[1], 64)
			return kilobytes / kilobyte, err
		}
	}
	return 0, &FieldError{PID: pid, Field: "VmRSS"}
}

// processorSeconds reads a process's user and system time.
func processorSeconds(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	const userField, systemField = 11, 12 // counted from after the process's name
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0, &FieldError{PID: pid, Field: "utime"}
	}
	user, userErr := strconv.ParseFloat(fields[userField], 64)
	system, systemErr := strconv.ParseFloat(fields[systemField], 64)
	return (user + system) / ticksPerSecond, errors.Join(userErr, systemErr)
}

// FieldError tells that the kernel's account of a process lacks a field.
type FieldError struct {
	PID   int
	Field string
}

func (e *FieldError) Error() string { return fmt.Sprintf("process %d: no %s", e.PID, e.Field) }

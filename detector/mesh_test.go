package detector

import (
	"math/rand/v2"
	"strconv"
	"time"

	"geraniumline/carrier"
)

const (
	meshStep      = 10 * time.Millisecond
	meshHeartbeat = 200 * time.Millisecond
)

// mesh runs the detectors of several entries over links that a test can delay and cut.
type mesh struct {
	now    time.Time
	start  time.Time
	rnd    *rand.Rand
	cfg    Config
	nodes  []*node
	byAddr map[string]int
	// cut holds the links (from, to) that drop all messages.
	cut map[[2]int]bool
	// loss is the fraction of all messages that is lost.
	loss float64
	// delay returns the transit time of a message.
	delay func() time.Duration
	// heartbeatInterval is the time between heartbeats; stepInterval is the time by which each simulation step
	// advances.
	heartbeatInterval, stepInterval time.Duration
	// zones is the number of availability zones.
	zones int
	// sent counts the encoded bytes of all messages if it isn't nil.
	sent        *int
	transitions []observedTransition
	// discardTransitions is set if transitions are not recorded: their number grows with the square of the fleet.
	discardTransitions bool
}

// node is one entry, whose process may be replaced.
type node struct {
	d       *Detector
	running bool
	// frozenUntil is when a paused process resumes; it reads its messages only then.
	frozenUntil   time.Time
	nextHeartbeat time.Time
	inbox         []delivery
	// bytesSent and lastSent are the encoded bytes that the process has sent, and when it last sent to each address.
	bytesSent int
	lastSent  map[string]time.Time
}

type delivery struct {
	at   time.Time
	from int
	msg  carrier.Message
}

// observedTransition is a transition with its observer and time.
type observedTransition struct {
	at       time.Duration
	observer int
	Transition
}

func newMesh(n int, seed uint64, cfg Config) *mesh { return newMeshInZones(n, 3, seed, cfg) }

// newMeshInZones is newMesh with the given number of zones.
func newMeshInZones(n, zones int, seed uint64, cfg Config) *mesh {
	m := &mesh{
		now:               time.Unix(1_700_000_000, 0),
		rnd:               rand.New(rand.NewPCG(seed, 1)),
		cfg:               cfg,
		byAddr:            make(map[string]int),
		cut:               make(map[[2]int]bool),
		heartbeatInterval: meshHeartbeat,
		stepInterval:      meshStep,
		zones:             zones,
	}
	m.start = m.now
	m.delay = func() time.Duration { return time.Duration(1+m.rnd.IntN(5)) * time.Millisecond }
	for i := range n {
		m.byAddr[address(i)] = i
		m.nodes = append(m.nodes, &node{})
		m.boot(i, 1)
	}
	return m
}

// testConfig returns the default timeouts of the settings.
func testConfig() Config {
	return Config{
		SuspectAfter: time.Second,
		DeadAfter:    3 * time.Second,
		ForgetAfter:  time.Minute,
		Seeds:        []string{address(0), address(1)},
	}
}

func name(i int) string     { return "entry-" + strconv.Itoa(100+i) }
func zone(i int) string     { return zoneName(i % 3) }
func zoneName(i int) string { return "zone-" + strconv.Itoa(i) }
func address(i int) string  { return "10.0.0." + strconv.Itoa(i) + ":7003" }

// boot starts a new process for entry i that knows only the seeds.
func (m *mesh) boot(i int, incarnation uint64) {
	cfg := m.cfg
	cfg.Self = carrier.Member{Name: name(i), Zone: zoneName(i % m.zones), PeerAddress: address(i), Incarnation: incarnation}
	phase := time.Duration(m.rnd.Int64N(int64(m.heartbeatInterval)))
	*m.nodes[i] = node{d: New(cfg), running: true, nextHeartbeat: m.now.Add(phase), lastSent: make(map[string]time.Time)}
}

// cutZone isolates one of the three zones from the others in both directions.
func (m *mesh) cutZone(zone int) {
	for i := range m.nodes {
		for j := range m.nodes {
			m.cut[[2]int{i, j}] = (i%3 == zone) != (j%3 == zone)
		}
	}
}

func (m *mesh) kill(i int) { m.nodes[i].running = false }

func (m *mesh) freeze(i int, d time.Duration) { m.nodes[i].frozenUntil = m.now.Add(d) }

// isRunning reports whether entry i's process is started and not paused.
func (m *mesh) isRunning(i int) bool {
	return m.nodes[i].running && !m.now.Before(m.nodes[i].frozenUntil)
}

func (m *mesh) run(d time.Duration, afterStep ...func()) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(m.stepInterval)
		for _, i := range m.rnd.Perm(len(m.nodes)) {
			if m.isRunning(i) {
				m.step(i)
			}
		}
		for _, f := range afterStep {
			f()
		}
	}
}

// step runs one iteration of a process in random order: a loop that resumes may tick before it reads.
func (m *mesh) step(i int) {
	if m.rnd.IntN(2) == 0 {
		m.sendDue(i)
		m.receiveDue(i)
		return
	}
	m.receiveDue(i)
	m.sendDue(i)
}

func (m *mesh) receiveDue(i int) {
	n := m.nodes[i]
	if len(n.inbox) == 0 {
		return
	}
	var later []delivery
	for _, x := range n.inbox {
		if x.at.After(m.now) {
			later = append(later, x)
			continue
		}
		m.receive(i, x)
	}
	n.inbox = later
}

func (m *mesh) receive(i int, x delivery) {
	d := m.nodes[i].d
	switch msg := x.msg.(type) {
	case *carrier.Heartbeat:
		m.recordTransitions(i, d.Receive(msg, m.now))
		if query, unknown := d.MemberQuery(msg, m.now); unknown {
			m.send(i, address(x.from), query, m.size(query))
		}
	case *carrier.MembersCall:
		reply := d.DescribeMembers(msg, m.now)
		m.send(i, address(x.from), reply, m.size(reply))
	case *carrier.MembersReply:
		m.recordTransitions(i, d.ReceiveMembers(msg, m.now))
	}
}

// size returns the encoded size of a message if bytes are counted.
func (m *mesh) size(msg carrier.Message) int {
	if m.sent == nil {
		return 0
	}
	body, _ := msg.MarshalMsg(nil)
	return len(body)
}

// send sends a message of the given size, unless the link drops it.
func (m *mesh) send(from int, to string, msg carrier.Message, size int) {
	sender := m.nodes[from]
	sender.bytesSent += size
	sender.lastSent[to] = m.now
	if m.sent != nil {
		*m.sent += size
	}
	j, ok := m.byAddr[to]
	if !ok || m.cut[[2]int{from, j}] || !m.nodes[j].running || m.loss > 0 && m.rnd.Float64() < m.loss {
		return
	}
	m.nodes[j].inbox = append(m.nodes[j].inbox, delivery{at: m.now.Add(m.delay()), from: from, msg: msg})
}

func (m *mesh) sendDue(i int) {
	n := m.nodes[i]
	if m.now.Before(n.nextHeartbeat) {
		return
	}
	n.nextHeartbeat = m.now.Add(m.heartbeatInterval)
	m.recordTransitions(i, n.d.Tick(m.now))
	hb := n.d.Heartbeat(m.now)
	size := m.size(hb)
	for _, to := range n.d.Targets(m.now) {
		m.send(i, to, hb, size)
	}
	for _, x := range n.d.Introductions(m.now) {
		m.send(i, x.Address, x.Members, m.size(x.Members))
	}
}

func (m *mesh) recordTransitions(i int, ts []Transition) {
	if m.discardTransitions {
		return
	}
	for _, t := range ts {
		m.transitions = append(m.transitions, observedTransition{at: m.now.Sub(m.start), observer: i, Transition: t})
	}
}

// handsOut reports whether any running process, including the victim's own, would hand out the victim to a caller.
func (m *mesh) handsOut(victim int) bool {
	for i := range m.nodes {
		if m.isRunning(i) && m.state(i, victim) == Live {
			return true
		}
	}
	return false
}

func (m *mesh) state(observer, of int) State {
	member, ok := m.nodes[observer].d.Member(name(of))
	if !ok {
		return Unknown
	}
	return member.State
}

// count returns the number of transitions to a state after the given time.
func (m *mesh) count(to State, after time.Duration) int {
	n := 0
	for _, s := range m.transitions {
		if s.To == to && s.From != to && s.at > after {
			n++
		}
	}
	return n
}

// converged reports whether every running process sees all running ones as live, and no others.
func (m *mesh) converged() bool {
	for i := range m.nodes {
		for j := range m.nodes {
			if m.isRunning(i) && (m.state(i, j) == Live) != m.isRunning(j) {
				return false
			}
		}
	}
	return true
}

func (m *mesh) cutAll(victim int, out, in bool) {
	for i := range m.nodes {
		if i == victim {
			continue
		}
		m.cut[[2]int{victim, i}] = out
		m.cut[[2]int{i, victim}] = in
	}
}

func (m *mesh) partition(left int) {
	for i := range m.nodes {
		for j := range m.nodes {
			m.cut[[2]int{i, j}] = (i < left) != (j < left)
		}
	}
}

func (m *mesh) heal() { clear(m.cut) }

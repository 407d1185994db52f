package reducer

import (
	"time"

	"geraniumline/biller"
	"geraniumline/carrier"
	"geraniumline/detector"
)

const (
	// billsInterval is the time between two broadcasts of an entry's bills to its peers.
	billsInterval = 2 * time.Second
	// maxBillsPerMessage bounds the accounts in one message.
	maxBillsPerMessage = 256
)

// Bills returns this entry's own running totals by client account.
func (c *Core) Bills() []biller.Bill { return c.biller.Bills() }

// broadcastBills sends all live peers this entry's running totals and those of incarnations that no longer live.
// Without the latter, the work of an entry would vanish from the bills with its process.
func (c *Core) broadcastBills(now time.Time) {
	if now.Before(c.nextBills) {
		return
	}
	c.nextBills = now.Add(billsInterval)
	c.sendIncarnationBills(biller.Incarnation{Entry: c.cfg.Entry, Incarnation: c.cfg.Incarnation, Bills: c.biller.Bills()})
	for _, other := range c.biller.OtherIncarnations() {
		member, known := c.detector.Member(other.Entry)
		if known && member.State == detector.Live && member.Incarnation == other.Incarnation && member.Name != c.cfg.Entry {
			continue
		}
		c.sendIncarnationBills(other)
	}
}

// sendIncarnationBills sends one incarnation's totals to all live peers in messages of at most maxBillsPerMessage accounts.
func (c *Core) sendIncarnationBills(incarnation biller.Incarnation) {
	for from := 0; from < len(incarnation.Bills); from += maxBillsPerMessage {
		message := &carrier.Bills{Entry: incarnation.Entry, Incarnation: incarnation.Incarnation}
		for _, bill := range incarnation.Bills[from:min(from+maxBillsPerMessage, len(incarnation.Bills))] {
			message.Accounts = append(message.Accounts, billToWire(bill))
		}
		for _, member := range c.detector.Members() {
			if member.Name == c.cfg.Entry || member.State != detector.Live {
				continue
			}
			c.emit(SendPeer{Address: member.PeerAddress, Message: message})
		}
	}
}

// handleBills merges totals received from a peer: its own, or those of an earlier incarnation that it relays.
func (c *Core) handleBills(message *carrier.Bills) {
	if message.Entry == c.cfg.Entry && message.Incarnation == c.cfg.Incarnation {
		return
	}
	bills := make([]biller.Bill, 0, len(message.Accounts))
	for i := range message.Accounts {
		bills = append(bills, billFromWire(&message.Accounts[i]))
	}
	c.biller.Merge(message.Entry, message.Incarnation, bills)
}

func billToWire(bill biller.Bill) carrier.AccountBill {
	wire := carrier.AccountBill{
		Account: bill.Account,
		Urgent:  countsToWire(bill.Urgent),
		Normal:  countsToWire(bill.Normal),
		Relaxed: countsToWire(bill.Relaxed),
	}
	for _, stage := range bill.Stages {
		wire.Stages = append(wire.Stages, carrier.StageBill(stage))
	}
	return wire
}

func billFromWire(wire *carrier.AccountBill) biller.Bill {
	bill := biller.Bill{
		Account: wire.Account,
		Urgent:  countsFromWire(wire.Urgent),
		Normal:  countsFromWire(wire.Normal),
		Relaxed: countsFromWire(wire.Relaxed),
	}
	for _, stage := range wire.Stages {
		bill.Stages = append(bill.Stages, biller.StageCost(stage))
	}
	return bill
}

func countsToWire(c biller.Counts) [4]uint64 {
	return [4]uint64{c.InTime, c.Late, c.NotRun, c.Unknown}
}

func countsFromWire(wire [4]uint64) biller.Counts {
	return biller.Counts{InTime: wire[0], Late: wire[1], NotRun: wire[2], Unknown: wire[3]}
}

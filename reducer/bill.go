package reducer

import (
	"time"

	"geraniumline/biller"
	"geraniumline/carrier"
	"geraniumline/detector"
)

const (
	// billsEvery is how often an entry tells its peers its bills.
	billsEvery = 2 * time.Second
	// billsPerMessage bounds the accounts of one message.
	billsPerMessage = 256
)

// Bills are this entry's own running totals.
func (c *Core) Bills() []biller.Bill { return c.biller.Bills() }

// tellBills sends this entry's running totals to all live peers, with those of incarnations that are gone.
// Without the latter the work that an entry did would vanish from the bills with its process.
func (c *Core) tellBills(now time.Time) {
	if now.Before(c.billsAt) {
		return
	}
	c.billsAt = now.Add(billsEvery)
	c.sendBills(biller.Incarnation{Entry: c.cfg.Entry, Incarnation: c.cfg.Incarnation, Bills: c.biller.Bills()})
	for _, other := range c.biller.OtherIncarnations() {
		member, known := c.detector.Member(other.Entry)
		if known && member.State == detector.Live && member.Incarnation == other.Incarnation && member.Name != c.cfg.Entry {
			continue
		}
		c.sendBills(other)
	}
}

func (c *Core) sendBills(of biller.Incarnation) {
	for from := 0; from < len(of.Bills); from += billsPerMessage {
		message := &carrier.Bills{Entry: of.Entry, Incarnation: of.Incarnation}
		for _, bill := range of.Bills[from:min(from+billsPerMessage, len(of.Bills))] {
			message.Accounts = append(message.Accounts, wireBill(bill))
		}
		for _, member := range c.detector.Members() {
			if member.Name == c.cfg.Entry || member.State != detector.Live {
				continue
			}
			c.emit(SendPeer{Address: member.PeerAddress, Message: message})
		}
	}
}

// takeBills merges a peer's totals, or those that it passes on.
func (c *Core) takeBills(message *carrier.Bills) {
	if message.Entry == c.cfg.Entry && message.Incarnation == c.cfg.Incarnation {
		return
	}
	bills := make([]biller.Bill, 0, len(message.Accounts))
	for i := range message.Accounts {
		bills = append(bills, billOfWire(&message.Accounts[i]))
	}
	c.biller.Merge(message.Entry, message.Incarnation, bills)
}

func wireBill(bill biller.Bill) carrier.AccountBill {
	wire := carrier.AccountBill{
		Account: bill.Account,
		Urgent:  wireCounts(bill.Urgent),
		Normal:  wireCounts(bill.Normal),
		Relaxed: wireCounts(bill.Relaxed),
	}
	for _, stage := range bill.Stages {
		wire.Stages = append(wire.Stages, carrier.StageBill(stage))
	}
	return wire
}

func billOfWire(wire *carrier.AccountBill) biller.Bill {
	bill := biller.Bill{
		Account: wire.Account,
		Urgent:  countsOfWire(wire.Urgent),
		Normal:  countsOfWire(wire.Normal),
		Relaxed: countsOfWire(wire.Relaxed),
	}
	for _, stage := range wire.Stages {
		bill.Stages = append(bill.Stages, biller.StageCost(stage))
	}
	return bill
}

func wireCounts(c biller.Counts) [4]uint64 {
	return [4]uint64{c.InTime, c.Late, c.NotRun, c.Unknown}
}

func countsOfWire(wire [4]uint64) biller.Counts {
	return biller.Counts{InTime: wire[0], Late: wire[1], NotRun: wire[2], Unknown: wire[3]}
}

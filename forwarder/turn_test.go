package forwarder

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/cataloger"
	"geraniumline/registrar"
	"geraniumline/regulator"
	"geraniumline/selector"
)

// Guards against refusing a request because its turn came between two looks at the clock.
func TestARequestWhoseTurnHasJustComeIsNotRefused(t *testing.T) {
	f := newMesh(t, 1).nodes["entry-0"]
	now := time.Now()
	e := &registrar.Endpoint{ID: "e", Service: "plain"}
	f.selector.SetEndpoints([]*registrar.Endpoint{e})
	f.regulator.ApplyNotice(e, regulator.Notice{Fragile: true, MaxRefusals: 1}, now)
	f.regulator.RecordSend("e", now)
	x := &exchange{f: f, ctx: context.Background(), service: &cataloger.Service{Name: "plain"}, route: &cataloger.Route{}}
	held, all := f.selector.Throttled(selector.Query{Service: "plain"}, now)
	require.True(t, all)
	time.Sleep(time.Until(held.Until))
	require.True(t, x.awaitTurn(now.Add(maxTurnWait), now))
}

package faker_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/faker"
	"geraniumline/platformserver"
)

func TestControlRejectsInvalidBodies(t *testing.T) {
	engine := faker.NewEngine(fastEngine())
	t.Cleanup(engine.Close)
	vms := faker.NewVMs(faker.VMsConfig{})
	scenarios := []struct {
		testName string
		handler  http.Handler
		path     string
		body     string
	}{
		{"unknown switch of an engine", engine.Handler(), "/control/faults", `{"slow":1}`},
		{"rate over 1", engine.Handler(), "/control/faults", `{"errorRate":1.5}`},
		{"negative count", engine.Handler(), "/control/faults", `{"cutStreamAfterParts":-1}`},
		{"unknown outage", faker.NewLog(faker.LogConfig{}).Handler(), "/control/faults", `{"outage":"half"}`},
		{"malformed", faker.NewWeights(faker.WeightsConfig{}).Handler(), "/control/faults", `{`},
		{"unknown switch of the VM list", vms.Handler(), "/control/faults", `{"loseReplies":1}`},
		{"address without port", vms.Handler(), "/control/vms", `{"vms":[{"address":"here","state":"live"}]}`},
		{"unknown state", vms.Handler(), "/control/vms", `{"vms":[{"address":"here:1","state":"gone"}]}`},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			w := httptest.NewRecorder()
			s.handler.ServeHTTP(w, httptest.NewRequest(http.MethodPut, s.path, strings.NewReader(s.body)))
			require.Equal(t, http.StatusBadRequest, w.Code)
			require.Contains(t, w.Body.String(), `"code":"badCall"`)
		})
	}
}

// The VM list is changed through the control path. Readers see the change; during an outage, reads fail.
func TestControlSetsVMs(t *testing.T) {
	ctx := testContext(t)
	vms := faker.NewVMs(faker.VMsConfig{Lag: 1})
	url := serve(t, vms.Handler(), func() {})
	client, err := platformserver.NewClient(url)
	require.NoError(t, err)
	list, err := client.ListVms(ctx)
	require.NoError(t, err)
	require.Empty(t, list.Vms)
	set := []platformserver.VM{{Address: "127.0.0.1:1", Zone: "z1", Pool: "entry", State: platformserver.VMStateLeaving}}
	require.NoError(t, faker.NewControlClient(url[len("http://"):]).SetVMs(ctx, set))
	eventually(t, func() bool {
		list, err := client.ListVms(ctx)
		return err == nil && len(list.Vms) == 1 && list.Vms[0] == set[0]
	})
	vms.SetFaults(faker.VMFaults{Outage: faker.OutageFail})
	_, err = client.ListVms(ctx)
	require.Equal(t, "outage", platformCode(t, err))
	_, err = appendTo(ctx, client, "x")
	require.Equal(t, "notServed", platformCode(t, err))
}

package switcher

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDisable(t *testing.T) {
	disabled, err := Disable("zoneWait", "startedFirst")
	require.NoError(t, err)
	require.True(t, disabled.Has(ZoneWait))
	require.False(t, disabled.Has(NearFirst))
	require.Equal(t, []string{"startedFirst", "zoneWait"}, disabled.Names())
	require.Empty(t, Disabled{}.Names())
	_, err = Disable("zoneWait", "magic")
	var unknown *UnknownMechanismError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "magic", unknown.Name)
	require.Contains(t, err.Error(), "zoneWait")
}

package switcher

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestWithout(t *testing.T) {
	off, err := Disable("zoneWait", "startedFirst")
	require.NoError(t, err)
	require.True(t, off.Has(ZoneWait))
	require.False(t, off.Has(NearFirst))
	require.Equal(t, []string{"startedFirst", "zoneWait"}, off.Names())
	require.Empty(t, Disabled{}.Names())
	_, err = Disable("zoneWait", "magic")
	var unknown *UnknownMechanismError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "magic", unknown.Name)
	require.Contains(t, err.Error(), "zoneWait")
}

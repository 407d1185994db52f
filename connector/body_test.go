package connector

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against a body for which more memory is held than has arrived, by growing, by copying, or as its sender has announced.
func TestABodyHoldsLittleMoreThanHasArrived(t *testing.T) {
	for _, announced := range []int64{-1, 0, 100, 1 << 40} {
		for _, size := range []int{0, 100, firstBlock, firstBlock + 1, 10 * maxBlock} {
			held := int64(0)
			buffer := NewBodyBuffer(announced, func(n int64) error {
				held += n
				return nil
			})
			data := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
			n, err := buffer.ReadFrom(iotest.OneByteReader(bytes.NewReader(data)))
			require.NoError(t, err)
			require.Equal(t, int64(size), n)
			require.True(t, bytes.Equal(data, buffer.Body().Bytes()))
			require.Equal(t, size, buffer.Body().Len())
			require.LessOrEqual(t, held, int64(max(firstBlock, blockGrowth*size, size+maxBlock)))
		}
	}
}

func TestABodyWithoutRoomIsRefused(t *testing.T) {
	full := errors.New("full")
	left := int64(firstBlock)
	buffer := NewBodyBuffer(-1, func(n int64) error {
		if left -= n; left < 0 {
			return full
		}
		return nil
	})
	n, err := buffer.Write(make([]byte, firstBlock+1))
	require.ErrorIs(t, err, full)
	require.Equal(t, firstBlock, n)
}

func TestABodyOfSeveralBlocksIsSentWhole(t *testing.T) {
	got := make(chan string, 2)
	p := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		for range 2 {
			_, body, err := readRequest(br)
			if err != nil {
				return
			}
			got <- body
			reply(c, "1", "", "x")
		}
	})
	blocks := call(p.address, "1")
	blocks.Body = Body{[]byte("ab"), bytes.Repeat([]byte("c"), concurrentWriteBytes), []byte("d")}
	want := string(blocks.Body.Bytes())
	client := newClient(t)
	// A call may be sent again with the same body.
	for range 2 {
		resp, err := client.Do(t.Context(), blocks)
		require.NoError(t, err)
		_, err = resp.ReadAll(NewBudget(0), 1<<10)
		require.NoError(t, err)
		require.Equal(t, want, <-got)
	}
}

package peer

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonladder/wigeonladder"
)

// Guards against links from addresses outside the register, and against a new
// fleet that cannot start because links are refused before a register is known.
func TestLinksOnlyFromRegister(t *testing.T) {
	is := is.New(t)
	var c wigeonladder.Config
	m := &Mesh{options: Options{Seeds: []string{"10.0.0.9:1"}, Config: func() wigeonladder.Config { return c }}}
	trusts := func(ip string) bool { return m.trusts(&net.TCPAddr{IP: net.ParseIP(ip), Port: 5}) }
	is.True(trusts("10.0.0.7"))
	c.Revision = 1
	c.Register.VMs = []wigeonladder.VM{{Name: "a", PeerAddress: "10.0.0.1:7000"}}
	is.True(trusts("10.0.0.1"))
	is.True(trusts("10.0.0.9"))
	is.True(!trusts("10.0.0.7"))
	is.True(!trusts("::1"))
}

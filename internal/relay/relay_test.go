package relay_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/relay"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestRelay(t *testing.T) { testkit.Run(t, "relay") }

// timedOut reports whether err is a timeout of a dial or a read; net has several errors for that.
func timedOut(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

var _ = Describe("A link", func() {
	var r *relay.Relay
	BeforeEach(func() {
		echo, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() {
			for {
				c, err := echo.Accept()
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(c, c) }()
			}
		}()
		r, err = relay.New(GinkgoT().Context(), "127.0.0.1:0", echo.Addr().String(), "")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { r.Close(); _ = echo.Close() })
	})
	dial := func() (net.Conn, error) { return net.DialTimeout("tcp", r.Addr(), 200*time.Millisecond) }
	echoes := func(c net.Conn) error {
		_, err := c.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, err = c.Read(make([]byte, 1))
		return err
	}
	open := func() net.Conn {
		c, err := dial()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(echoes(c)).To(Succeed())
		return c
	}

	It("that refuses connections leaves those that are open", func() {
		c := open()
		r.SetFault(relay.Fault{Refuse: true})
		_, err := dial()
		Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue())
		Expect(echoes(c)).To(Succeed())
		r.SetFault(relay.Fault{})
		open()
	})

	DescribeTable("that led into a black hole delivers what it held up, unless its sender reset the connection", func(reset, delivered bool) {
		arrived := make(chan string, 10)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					text, _ := io.ReadAll(c)
					arrived <- string(text)
				}()
			}
		}()
		r, err := relay.New(GinkgoT().Context(), "127.0.0.1:0", l.Addr().String(), "")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { r.Close(); _ = l.Close() })
		c, err := net.Dial("tcp", r.Addr())
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		r.SetFault(relay.Fault{Blackhole: true})
		_, err = c.Write([]byte("held"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		if reset {
			Expect(c.(*net.TCPConn).SetLinger(0)).To(Succeed())
		}
		Expect(c.Close()).To(Succeed())
		time.Sleep(50 * time.Millisecond)
		r.SetFault(relay.Fault{})
		var got string
		Eventually(arrived, time.Second).Should(Receive(&got))
		Expect(got == "held").To(Equal(delivered))
	},
		Entry("closed", false, true),
		Entry("reset", true, false),
	)

	It("that leads into a black hole replies to nobody, until it is whole again", func() {
		c := open()
		r.SetFault(relay.Fault{Blackhole: true})
		_, err := dial()
		Expect(timedOut(err)).To(BeTrue(), "%v", err)
		Expect(timedOut(echoes(c))).To(BeTrue())
		r.SetFault(relay.Fault{})
		open()
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, err = c.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
	})
})

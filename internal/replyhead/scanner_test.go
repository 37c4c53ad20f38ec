package replyhead_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinespindle/sardinespindle/internal/replyhead"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestReplyHead(t *testing.T) { testkit.Run(t, "replyhead") }

// scan scans a text that arrives at once.
func scan(text string) error {
	var s replyhead.Scanner
	return s.Scan([]byte(text))
}

var _ = Describe("Scanner", func() {
	DescribeTable("accepts", func(text string) { Expect(scan(text)).To(Succeed()) },
		Entry("an answer", "HTTP/1.1 200 OK\r\nName: x\r\nAny-Name_of.A!Token9:\r\n\r\nbody\r\nHTTP/1.1 000 x\r\n"),
		Entry("a first line without text", "HTTP/1.1 200\r\n\r\n"),
		Entry("lines that end without a carriage return", "HTTP/1.1 599 x\nName: x\n\n\nbody"),
		Entry("heads that announce others", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n\x00"),
		Entry("a length, after a head that announces it", "HTTP/1.1 103 x\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"),
		Entry("a switch to another protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n\x00\n\n"),
		Entry("a head that has not arrived in full", "HTTP/1.1 200 OK\r\nName"),
	)
	DescribeTable("refuses", func(text string) { Expect(scan(text)).To(MatchError(replyhead.ErrInvalid)) },
		Entry("status 000", "HTTP/1.1 000 Trouble\r\n"),
		Entry("status 000 without text", "HTTP/1.1 000\r\n"),
		Entry("status 099", "HTTP/1.1 099 Trouble\r\n"),
		Entry("status 600", "HTTP/1.1 600 Trouble\r\n"),
		Entry("a status with a sign", "HTTP/1.1 +20 Trouble\r\n"),
		Entry("a status of four digits", "HTTP/1.1 0200 OK\r\n"),
		Entry("no status", "HTTP/1.1\r\n"),
		Entry("an empty first line", "\r\n"),
		Entry("a blank in a name", "HTTP/1.1 200 OK\r\nBad Name: x\r\n"),
		Entry("a blank after a name", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n"),
		Entry("a control byte in a name", "HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n"),
		Entry("a byte that is not ASCII in a name", "HTTP/1.1 200 OK\r\nBad\x80: x\r\n"),
		Entry("no name", "HTTP/1.1 200 OK\r\n: x\r\n"),
		Entry("a line that is no field", "HTTP/1.1 200 OK\r\nBad Name\r\n"),
		Entry("a line that begins with a blank", "HTTP/1.1 200 OK\r\nName: x\r\n Bad-Name: x\r\n"),
		Entry("a line of blanks", "HTTP/1.1 200 OK\r\nName: x\r\n \r\n"),
		Entry("a name with a blank in a head that announces others", "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n"),
		Entry("two lengths of the body", "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nTransfer-Encoding: chunked\r\n"),
		Entry("two lengths of the body, the other way round", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n"),
		Entry("a status that does not exist, after a head that announces it", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 x\r\n"),
	)
	It("refuses the next reply on the connection once it is expected", func() {
		var s replyhead.Scanner
		Expect(s.Scan([]byte("HTTP/1.1 200 OK\r\n\r\nbody"))).To(Succeed())
		Expect(s.Scan([]byte("HTTP/1.1 000 x\r\n"))).To(Succeed(), "part of the body")
		s.Expect()
		Expect(s.Scan([]byte("HTTP/1.1 000 x\r\n"))).To(MatchError(replyhead.ErrInvalid))
	})
	It("quotes a long line in part", func() {
		Expect(len(scan("HTTP/1.1 000 " + strings.Repeat("\x01", 10_000) + "\r\n").Error())).To(BeNumerically("<", 500))
	})

	// What the scanner and net/http take for a head must be the same bytes, in whatever pieces they arrive.
	It("decides the same for any pieces, and passes no status and no name that net/http would report and HTTP lacks", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			text := rapid.SampledFrom([]string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 x\r\n\r\nHTTP/1.1  204\n", "HTTP/1.1 000 x\r\n", "HTTP/1.1 600\r\n"}).Draw(t, "first") +
				strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{
					"Name: x\r\n", "Bad Name: x\n", " folded: x\r\n", ": x\r\n", "Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n", "\r\n", "\r", " ", "b",
				}), 0, 5).Draw(t, "rest"), "") + "\r\n\r\n"
			whole := scan(text)
			var s replyhead.Scanner
			var err error
			for rest := text; rest != "" && err == nil; {
				n := rapid.IntRange(1, len(rest)).Draw(t, "n")
				err = s.Scan([]byte(rest[:n]))
				rest = rest[n:]
			}
			if (whole == nil) != (err == nil) {
				t.Fatalf("%q: whole %v, in pieces %v", text, whole, err)
			}
			resp, readErr := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
			if whole != nil || readErr != nil {
				return
			}
			if resp.StatusCode < 100 || resp.StatusCode > 599 {
				t.Fatalf("%q: passed with status %d", text, resp.StatusCode)
			}
			for name, values := range resp.Header {
				if strings.ContainsAny(name+strings.Join(values, ""), " :") || name == "" {
					t.Fatalf("%q: passed with field %q %q", text, name, values)
				}
			}
		})
	})
})

package replyhead_test

import (
	"context"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/replyhead"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

var _ = It("Dial has an http.Client refuse a reply with an invalid head, the first on its connection or a later one", func() {
	const good, broken = "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\nHTTP/1.1 000 \r\n\r\n", "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n"
	address := testkit.ServeReplies(good, good, broken, broken, good)
	opened := 0
	client := &http.Client{Transport: &http.Transport{DialContext: replyhead.Dial(func(ctx context.Context, network, address string) (net.Conn, error) {
		opened++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})}}
	defer client.CloseIdleConnections()
	for _, want := range []error{nil, nil, replyhead.ErrInvalid, nil} {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address, http.NoBody)
		Expect(err).NotTo(HaveOccurred())
		resp, err := client.Do(req)
		if want != nil {
			Expect(err).To(MatchError(want))
			continue
		}
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(17))
		Expect(resp.Body.Close()).To(Succeed())
	}
	Expect(opened).To(Equal(3), "the first one carried three requests; net/http sent the third again")
})

package platform_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/platform"
	"github.com/sardinespindle/sardinespindle/internal/replyhead"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestPlatform(t *testing.T) { testkit.Run(t, "platform client") }

// A value without its ETag is read again and again.
var _ = DescribeTable("Client takes no value from a reply with an invalid head", func(head string) {
	const rest = "Content-Length: 2\r\nConnection: close\r\n\r\n{}"
	c := platform.New(platform.Options{Addresses: []string{testkit.ServeReplies(head+rest, "HTTP/1.1 200 OK\r\nETag: \"1\"\r\n"+rest)}})
	_, err := c.Get(context.Background(), platform.HeadKey)
	Expect(err).To(MatchError(replyhead.ErrInvalid))
	v, err := c.Get(context.Background(), platform.HeadKey)
	Expect(err).NotTo(HaveOccurred())
	Expect(v.ETag).To(Equal(`"1"`))
},
	Entry("by its status", "HTTP/1.1 000 Trouble\r\nETag: \"1\"\r\n"),
	Entry("by a blank before the colon of a field", "HTTP/1.1 200 OK\r\nETag : \"1\"\r\n"),
	Entry("by a status that says that there is no value, in a broken head", "HTTP/1.1 404 Not Found\r\nBad Name: x\r\n"),
)

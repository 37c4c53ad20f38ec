package daemon

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/replyhead"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	"github.com/sardinespindle/sardinespindle/platform"
)

// A VM took the store's content for that of era 0, since the field that holds the era was not read.
var _ = DescribeTable("A VM takes nothing from a reply of the store with an invalid head", func(head string) {
	const rest = "Content-Length: 28\r\nConnection: close\r\n\r\n{\"items\":[],\"currentRev\":12}"
	store := platform.NewStore(testkit.ServeReplies(head+rest, head+rest, "HTTP/1.1 200 OK\r\n"+platform.EraHeader+": 3\r\n"+rest), storeTransport("127.0.0.1"))
	_, err := store.Read(context.Background())
	Expect(err).To(MatchError(replyhead.ErrInvalid))
	_, err = store.Watch(context.Background(), 3, time.Second)
	Expect(err).To(MatchError(replyhead.ErrInvalid))
	u, err := store.Read(context.Background())
	Expect(err).NotTo(HaveOccurred())
	Expect(u.Era).To(BeEquivalentTo(3))
},
	Entry("by its status", "HTTP/1.1 000 Trouble\r\n"+platform.EraHeader+": 3\r\n"),
	Entry("by a blank in the name of a field", "HTTP/1.1 200 OK\r\nBad Name: x\r\n"+platform.EraHeader+": 3\r\n"),
	Entry("by a blank before the colon of a field", "HTTP/1.1 200 OK\r\n"+platform.EraHeader+" : 3\r\n"),
	Entry("by a line that begins with a blank", "HTTP/1.1 200 OK\r\n"+platform.EraHeader+": 3\r\n Bad-Name: x\r\n"),
	Entry("by a status that says that the history is gone, in a broken head", "HTTP/1.1 410 Gone\r\nBad Name: x\r\n"),
)

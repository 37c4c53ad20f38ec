package bench

import (
	"fmt"
	"net/http"

	"github.com/sardinespindle/sardinespindle/platform"
)

// While there are faults, one in brokenEvery replies has an invalid head.
const brokenEvery = 50

// brokenReplies are replies with an invalid head. %s in them are fields with the request's id and a signature.
var brokenReplies = []string{
	"HTTP/1.1 000 Trouble\r\n%sContent-Length: 4\r\n\r\ntext",
	"HTTP/1.1 001 Trouble\r\n%sContent-Length: 4\r\n\r\ntext",
	"HTTP/1.1 +20 Trouble\r\n%sContent-Length: 4\r\n\r\ntext",
	"HTTP/1.1 999 Trouble\r\n%sContent-Length: 4\r\n\r\ntext",
	"HTTP/1.1 200 OK\r\n%sBad Name: x\r\nContent-Length: 4\r\n\r\ntext",
	"HTTP/1.1 200 OK\r\n%sContent-Length : 4\r\n\r\ntext and more",
	"HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\n%s Bad-Name: x\r\nContent-Length: 4\r\n\r\ntext",
	"HTTP/1.1 200 OK\r\n%sBad\x01Name: x\r\nContent-Length: 4\r\n\r\ntext",
	"HTTP/1.1 404 Not Found\r\n%sBad Name: x\r\nContent-Length: 4\r\n\r\ntext",
	"HTTP/1.1 503 Service Unavailable\r\n%s" + platform.UpstreamHeaders.NotRun + " : 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 421 Misdirected Request\r\n%sBad Name: x\r\nContent-Length: 0\r\n\r\n",
}

// sendBroken replies with an invalid head.
func (sv *soakServer) sendBroken(a arrival, w http.ResponseWriter) {
	fields := fmt.Sprintf("%s: %s\r\n%s: broken\r\n", platform.RequestID, a.id, platform.UpstreamHeaders.Signature)
	sv.sendRaw(w, "broken reply", fmt.Sprintf(brokenReplies[int(hash("form"+a.id))%len(brokenReplies)], fields), 0)
}

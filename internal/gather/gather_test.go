package gather_test

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

// suite is the test that runs this package's specs; synctest needs it for fake time.
var suite *testing.T

func TestGather(t *testing.T) {
	suite = t
	testkit.Run(t, "gather")
}

// fakeTime runs f in fake time; a goroutine that f leaks fails the test.
func fakeTime(f func(g Gomega)) {
	synctest.Test(suite, func(tb *testing.T) { f(NewWithT(tb)) })
}

package gather_test

import (
	"testing"

	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

// suite is the test that runs this package's specs; bubbles of fake time hang on it.
var suite *testing.T

func TestGather(t *testing.T) {
	suite = t
	testkit.Run(t, "gather")
}

package sessions

import (
	"testing"

	"github.com/pistachiowind/pistachiowind/demo"
	"github.com/pistachiowind/pistachiowind/standin"
)

// chargeSite has one endpoint of each kind, since charges do not use engines, and two
// routers.
var chargeSite = demo.SiteOptions{Engines: 1, Routers: 2}

func TestChargeTwice(t *testing.T) {
	s := startSession(t, "Guards against a charge that runs again when its caller repeats the key at another router.", chargeSite)
	s.call(0, charge("key-1", chargeBody))
	s.awaitWrites("claim", 2)
	s.call(1, charge("key-1", chargeBody))
	s.checkGolden()
}

func TestKeyReused(t *testing.T) {
	s := startSession(t, "Guards against a key that answers another charge than the one that it ran.", chargeSite)
	s.call(0, charge("key-1", chargeBody))
	s.awaitWrites("claim", 2)
	s.call(0, charge("key-1", `{"contract":"c-1","cents":9900}`))
	s.checkGolden()
}

func TestClaimAnswerLost(t *testing.T) {
	s := startSession(t, "Guards against a charge that runs twice or not at all when its claim takes effect and the answer to the write is lost.", chargeSite)
	s.setTable(standin.TableFaults{LoseWriteAnswers: 1})
	s.call(0, charge("key-1", chargeBody))
	s.awaitWrites("claim", 2)
	s.call(0, charge("key-1", chargeBody))
	s.checkGolden()
}

func TestTableDown(t *testing.T) {
	s := startSession(t, "Guards against a charge that runs without a record while the table service is down, and against a not_run that keeps the same key from running later.", chargeSite)
	s.setTable(standin.TableFaults{Down: true})
	s.call(0, charge("key-1", chargeBody))
	s.addNote("charges that ran while the table service was down: %d", len(s.Ledger.Log()))
	s.setTable(standin.TableFaults{})
	writes := s.writes("claim")
	s.call(0, charge("key-1", chargeBody))
	s.awaitWrites("claim", writes+2)
	s.call(1, charge("key-1", chargeBody))
	s.addNote("charges that ran: %d", len(s.Ledger.Log()))
	s.checkGolden()
}

func (s *session) setTable(f standin.TableFaults) {
	s.t.Helper()
	if err := s.Table.SetFaults(f); err != nil {
		s.t.Fatal(err)
	}
}

package demo

import "github.com/pistachiowind/pistachiowind/catalog"

// Names and API keys of the demo's catalog. The keys are public and valid only in the
// demo.
const (
	LedgerService  = "ledger"
	BookingService = "booking"

	ProfileUrgent  = "urgent-chat"
	ProfileChat    = "chat"
	ProfileHistory = "history"
	ProfileCharge  = "charge"

	// InsuranceKey and MarketKey are the API keys of the two client accounts.
	InsuranceKey = "demo-insurance-key"
	MarketKey    = "demo-market-key"
	OperatorKey  = "demo-operator-key"
)

// Catalog returns the initial catalog of the demo: four profiles, two client accounts
// and two plain services.
func Catalog() *catalog.Catalog {
	return &catalog.Catalog{
		Profiles: []catalog.Profile{
			{
				Name: ProfileUrgent, Tier: catalog.TierUrgent, Idempotent: true,
				Target: catalog.Target{FirstTokenMS: 1500, InterTokenMS: 44},
				Limits: catalog.Limits{MaxWaitMS: 5000},
			},
			{
				Name: ProfileChat, Tier: catalog.TierStandard, Idempotent: true,
				Target: catalog.Target{FirstTokenMS: 3000, InterTokenMS: 100},
			},
			{
				Name: ProfileHistory, Tier: catalog.TierBatch, Idempotent: true,
				Target: catalog.Target{WholeMS: 60000},
				Limits: catalog.Limits{MaxWaitMS: 30000},
			},
			{
				Name: ProfileCharge, Tier: catalog.TierUrgent, Idempotent: false,
				Target: catalog.Target{WholeMS: 1000},
				Limits: catalog.Limits{MaxWaitMS: 2000, MaxRunMS: 10000},
			},
		},
		ClientAccounts: []catalog.ClientAccount{
			{Name: "insurance", KeyHashes: []string{catalog.HashKey(InsuranceKey)}, DefaultProfile: ProfileUrgent, Weight: 2},
			{Name: "market", KeyHashes: []string{catalog.HashKey(MarketKey)}, DefaultProfile: ProfileChat},
		},
		Services: []catalog.Service{
			{Name: LedgerService, DefaultProfile: ProfileCharge},
			{Name: BookingService, DefaultProfile: ProfileCharge},
		},
	}
}

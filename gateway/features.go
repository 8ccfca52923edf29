package gateway

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Features selects optional decisions of a gateway. A field that is not set follows from
// Settings.Guarantees; without either, the feature is off.
type Features struct {
	// AccountShares divides what can be admitted of a request class among the client
	// accounts.
	AccountShares *bool `json:"account_shares,omitempty"`
	// ZoneSpill sends a share of the requests to other availability zones while the own one
	// is short of capacity.
	ZoneSpill *bool `json:"zone_spill,omitempty"`
}

// guaranteePressure is the guarantee for deployments whose callers compete for too little
// capacity. Those need the capacity of all availability zones.
const guaranteePressure = "pressure"

// features returns the features with every field set.
func (s Settings) features() Features {
	pressure := slices.Contains(s.Guarantees, guaranteePressure)
	resolve := func(set *bool, otherwise bool) *bool {
		if set != nil {
			return set
		}
		return &otherwise
	}
	return Features{
		AccountShares: resolve(s.Features.AccountShares, false),
		ZoneSpill:     resolve(s.Features.ZoneSpill, pressure),
	}
}

// dutyUsageReporting is the duty to report the usage of client accounts.
const dutyUsageReporting = "usage_reporting"

// Duties holds the calls to the platform that one gateway makes for all. The zero value
// means none.
type Duties struct {
	// Address is the IP:PORT of the platform's interface for duties; empty for none.
	Address string `json:"address,omitempty"`
	// Names lists the duties that the platform wants done.
	Names []string `json:"names,omitempty"`
	// CallsPerS is the rate of calls that the platform accepts from all gateways together.
	CallsPerS float64 `json:"calls_per_s,omitempty"`
	// LeaseTTLMS is the validity in milliseconds of the lease on a duty.
	LeaseTTLMS float64 `json:"lease_ttl_ms,omitempty"`
	// ThawSlackMS is the time in milliseconds after a gateway resumes within which the
	// platform excuses its calls.
	ThawSlackMS float64 `json:"thaw_slack_ms,omitempty"`
	// ReportWindowS is the length in seconds of a usage window, and ReportDelayS the time in
	// seconds after the end of a window by which its report is due.
	ReportWindowS float64 `json:"report_window_s,omitempty"`
	ReportDelayS  float64 `json:"report_delay_s,omitempty"`
	// ReportTolerance is the allowed relative deviation of a count from the truth.
	ReportTolerance float64 `json:"report_tolerance,omitempty"`
	// FencingRequired states that the platform checks fencing numbers itself.
	FencingRequired bool `json:"fencing_required,omitempty"`
}

// reportsUsage reports whether the usage of client accounts is to be counted and reported.
func (d Duties) reportsUsage() bool {
	return d.Address != "" && d.ReportWindowS > 0 && slices.Contains(d.Names, dutyUsageReporting)
}

// reportWindow is the length of a usage window.
func (d Duties) reportWindow() time.Duration {
	return time.Duration(d.ReportWindowS * float64(time.Second))
}

func (d Duties) check() error {
	var faults []error
	require := func(ok bool, field, rule string) {
		if !ok {
			faults = append(faults, fmt.Errorf("field duties.%s: %s", field, rule))
		}
	}
	if d.Address == "" {
		return nil
	}
	_, err := netip.ParseAddrPort(d.Address)
	require(err == nil, "address", "must be IP:PORT")
	require(d.CallsPerS > 0, "calls_per_s", "must be positive")
	require(d.LeaseTTLMS > 0, "lease_ttl_ms", "must be positive")
	require(d.ThawSlackMS >= 0, "thaw_slack_ms", "must not be negative")
	if slices.Contains(d.Names, dutyUsageReporting) {
		require(d.reportWindow() > 0, "report_window_s", "must be at least 1 ns")
		require(d.ReportDelayS > 0, "report_delay_s", "must be positive")
		require(d.ReportTolerance >= 0, "report_tolerance", "must not be negative")
	}
	return errors.Join(faults...)
}

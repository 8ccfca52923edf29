package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/admission"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

// Settings are the settings of a gateway, read from a JSON file.
type Settings struct {
	Name             string `json:"name"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	// Listen holds addresses as IP:PORT.
	Listen Listen `json:"listen"`
	// StoreAddress is the IP:PORT of the platform's store.
	StoreAddress string `json:"store_address"`
	// PeerSeeds are IP:PORT addresses on VMs that run a gateway. Only the IP address
	// is used; the port is that of Listen.Peers.
	PeerSeeds []string `json:"peer_seeds,omitempty"`
	// MemoryMB is the memory limit of the process in megabytes.
	MemoryMB int `json:"memory_mb"`
	// GracePeriodS is the time from SIGTERM to SIGKILL in seconds.
	GracePeriodS float64 `json:"grace_period_s"`
	// RetryRatio, RetryWindowS and RetryAllowance bound the attempts after the first one
	// of requests, for all gateways together: RetryRatio is their number per first
	// attempt, and RetryAllowance a number in addition. RetryWindowS, in seconds, is
	// checked but not used.
	RetryRatio     float64 `json:"retry_ratio"`
	RetryWindowS   float64 `json:"retry_window_s"`
	RetryAllowance float64 `json:"retry_allowance"`
	// ConfigApplyMS and DrainTimeoutMS are the times in milliseconds within which a
	// change of the configuration, or of the endpoints, must be in force. Changes are
	// coalesced into one call for at most a quarter of that time; zero means for at most
	// 300 ms.
	ConfigApplyMS  float64 `json:"config_apply_ms,omitempty"`
	DrainTimeoutMS float64 `json:"drain_timeout_ms,omitempty"`
	// HeartbeatIntervalMS is the time in milliseconds between two writes of an endpoint's entry
	// in the directory; the default is 1,200.
	HeartbeatIntervalMS float64 `json:"heartbeat_interval_ms,omitempty"`
	// LogLinesPerS bounds the log lines per second; further lines are counted and
	// dropped. The default is 400.
	LogLinesPerS int `json:"log_lines_per_s,omitempty"`
	// PlacementRule selects how endpoints are chosen: "cheapest", the default, or, for
	// comparison in measurements, "fewest_in_flight" or "random".
	PlacementRule placement.Rule `json:"placement_rule,omitempty"`
	// AdmissionRule selects which requests are refused: "yield_to_urgent", the default,
	// or, for comparison in measurements, "deadline_only".
	AdmissionRule admission.Rule `json:"admission_rule,omitempty"`
	// Guarantees names what the platform asks of the deployment; a name switches on the
	// features that it needs. Unknown names are ignored.
	Guarantees []string `json:"guarantees,omitempty"`
	Features   Features `json:"features,omitzero"`
	Duties     Duties   `json:"duties,omitzero"`
	// ZonePrice is the cost of a MiB that is sent to another availability zone, in missed
	// targets: with 0.5, two MiB cost as much as one request that misses its target. It is
	// used with features.zone_spill; the default is placement.DefaultZonePrice.
	ZonePrice *float64 `json:"zone_price,omitempty"`
}

// Listen holds the addresses on which a gateway accepts connections.
type Listen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	// Metrics is the address of the metrics endpoint; empty for none.
	Metrics string `json:"metrics,omitempty"`
	// Peers is the address for the exchange with other gateways: UDP for statements,
	// TCP for the site state and cached parts; empty for no exchange.
	Peers string `json:"peers,omitempty"`
}

// GracePeriod is the time from SIGTERM to SIGKILL.
func (s Settings) GracePeriod() time.Duration {
	return time.Duration(s.GracePeriodS * float64(time.Second))
}

// defaultHeartbeatInterval applies if the settings state none.
const defaultHeartbeatInterval = 1200 * time.Millisecond

// heartbeatInterval is the time between two writes of an endpoint's entry.
func (s Settings) heartbeatInterval() time.Duration {
	if s.HeartbeatIntervalMS <= 0 {
		return defaultHeartbeatInterval
	}
	return time.Duration(s.HeartbeatIntervalMS * float64(time.Millisecond))
}

// LoadSettings reads and checks a settings file. The error is a
// *resultcode.Error with code InvalidSettings.
func LoadSettings(path string) (Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return Settings{}, resultcode.Wrap(resultcode.InvalidSettings, err, "open settings")
	}
	defer file.Close()
	return ReadSettings(file)
}

// ReadSettings decodes and checks settings. Errors are those of LoadSettings.
func ReadSettings(r io.Reader) (Settings, error) {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	var s Settings
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, resultcode.Wrap(resultcode.InvalidSettings, err, "decode settings")
	}
	if err := s.check(); err != nil {
		return Settings{}, resultcode.Wrap(resultcode.InvalidSettings, err, "check settings")
	}
	return s, nil
}

func (s Settings) check() error {
	var faults []error
	require := func(ok bool, field, rule string) {
		if !ok {
			faults = append(faults, fmt.Errorf("field %s: %s", field, rule))
		}
	}
	address := func(field, value string, optional bool) {
		if optional && value == "" {
			return
		}
		_, err := netip.ParseAddrPort(value)
		require(err == nil, field, "must be IP:PORT")
	}
	require(s.Name != "", "name", "must not be empty")
	require(s.AvailabilityZone != "", "availability_zone", "must not be empty")
	require(s.MemoryMB >= 32, "memory_mb", "must be at least 32")
	require(s.GracePeriodS > 0, "grace_period_s", "must be positive")
	require(s.RetryRatio >= 0 && s.RetryRatio <= 1, "retry_ratio", "must be from 0 to 1")
	require(s.RetryWindowS > 0, "retry_window_s", "must be positive")
	require(s.RetryAllowance >= 0, "retry_allowance", "must not be negative")
	require(s.ConfigApplyMS >= 0, "config_apply_ms", "must not be negative")
	require(s.DrainTimeoutMS >= 0, "drain_timeout_ms", "must not be negative")
	require(s.HeartbeatIntervalMS >= 0, "heartbeat_interval_ms", "must not be negative")
	require(s.LogLinesPerS >= 0, "log_lines_per_s", "must not be negative")
	require(s.ZonePrice == nil || *s.ZonePrice >= 0, "zone_price", "must not be negative")
	placementErr, admissionErr := s.PlacementRule.Check(), s.AdmissionRule.Check()
	require(placementErr == nil, "placement_rule", fmt.Sprint(placementErr))
	require(admissionErr == nil, "admission_rule", fmt.Sprint(admissionErr))
	address("listen.callers", s.Listen.Callers, false)
	address("listen.ready", s.Listen.Ready, false)
	address("listen.metrics", s.Listen.Metrics, true)
	address("listen.peers", s.Listen.Peers, true)
	address("store_address", s.StoreAddress, false)
	for i, seed := range s.PeerSeeds {
		address(fmt.Sprintf("peer_seeds[%d]", i), seed, false)
	}
	return errors.Join(append(faults, s.Duties.check())...)
}

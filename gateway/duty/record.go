package duty

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	// rowsPrefix is the prefix of the rows of the reporter. It differs from that of the rows
	// that every gateway reads at its start.
	rowsPrefix   = "usage/"
	reportPrefix = rowsPrefix + "reports/"
	countsPrefix = rowsPrefix + "counts/"
	// eraKey is the key of the row with the era in which reports were last recorded.
	eraKey = rowsPrefix + "era"
	// recordSlots is the number of recorded windows that are kept, each in a row of its own:
	// 840 client accounts take some 20 KB, so that several do not fit into a row of 64 KiB.
	// It must exceed lateWindows, so that a window whose row was reused is never recorded.
	recordSlots = 16
	// maxCountRows bounds the rows of a checkpoint; further ones are not written. Twelve
	// values of 48 KiB stay below the size of a transaction.
	maxCountRows  = 12
	recordVersion = 1
	// maxRecordedCount bounds a recorded count; the ledger counts no further.
	maxRecordedCount = 1 << 40
)

// record is the value of a row with a recorded window.
type record struct {
	Format int               `json:"format"`
	Window int64             `json:"window"`
	Counts map[string]uint64 `json:"counts"`
	Sent   bool              `json:"sent"`
}

// eraRecord is the value of the row eraKey. Windows from FirstWindow on ended after the era
// began, so that the restored copy of the store cannot lack a record of them.
type eraRecord struct {
	Format      int    `json:"format"`
	Era         uint64 `json:"era"`
	FirstWindow int64  `json:"first_window"`
}

// slot is the row of a recorded window as this process knows it.
type slot struct {
	record
	// confirmed states that the row is known to have been stored with these counts; only
	// then may they be sent.
	confirmed bool
	// stored states that the row has the value of record. It is false after the window was
	// sent, and after a restored store lost the row.
	stored   bool
	revision storage.Revision
	// unreadable states that the row has a value that cannot be decoded. It is replaced only
	// by a later window than those that had begun when it was read.
	unreadable bool
}

func slotIndex(window int64) int { return int(window % recordSlots) }

func reportKey(index int) string { return reportPrefix + strconv.Itoa(index) }

func countsKey(index int) string { return countsPrefix + strconv.Itoa(index) }

// row returns the row to write for the slot.
func (s *slot) row(index int) storage.Row {
	s.Format = recordVersion
	// Encoding cannot fail: the record contains only strings, integers and booleans.
	value, _ := json.Marshal(s.record)
	return storage.Row{Key: reportKey(index), Value: value, Revision: s.revision}
}

func decodeRecord(value []byte, index int) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, fmt.Errorf("decode recorded window: %w", err)
	}
	if r.Format != recordVersion || r.Window < 0 || slotIndex(r.Window) != index {
		return record{}, fmt.Errorf("decode recorded window: format %d, window %d in row %d", r.Format, r.Window, index)
	}
	for account, count := range r.Counts {
		if count > maxRecordedCount {
			return record{}, fmt.Errorf("decode recorded window: %d requests of account %q", count, account)
		}
	}
	if r.Counts == nil {
		r.Counts = map[string]uint64{}
	}
	return r, nil
}

func decodeEra(value []byte) (eraRecord, error) {
	var r eraRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return eraRecord{}, fmt.Errorf("decode era of reports: %w", err)
	}
	if r.Format != recordVersion {
		return eraRecord{}, fmt.Errorf("decode era of reports: format %d", r.Format)
	}
	return r, nil
}

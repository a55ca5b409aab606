package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"curranthold.example/curranthold/internal/platform"
)

// The key of a row consists of rowPrefix, the number of a period, and the request
// hash. Time is divided into periods of the length of Config.Retention. A
// claim reads the rows of the previous, the current and the next period, and makes its
// write conditional on them, so that hosts whose clocks differ by less than a period
// see each other's claims. The rows of periods that no host reads any more are
// deleted. A write whose response was lost may be applied at any later time. If no host
// reads its period by then, it has no effect on claims.
const (
	rowPrefix = "claim/"
	// window is the number of periods whose rows a claim reads.
	window = 3
	// current is the index of the current period in the window.
	current = 1
	// keptPeriods is the number of past periods whose rows are kept.
	keptPeriods = 2
)

// hashRequest returns the request hash, which identifies the request in row keys. Each
// field is preceded by its length, so that different requests have different hash inputs.
func hashRequest(r Request) string {
	h := sha256.New()
	var length [4]byte
	for _, field := range []string{r.Account, r.Route, r.IdempotencyKey} {
		binary.BigEndian.PutUint32(length[:], uint32(len(field)))
		_, _ = h.Write(length[:]) // hash.Hash.Write never returns an error.
		_, _ = h.Write([]byte(field))
	}
	return hex.EncodeToString(h.Sum(nil))
}

// isRequestHash reports whether hash has the form of a request hash, as hashRequest
// returns it.
func isRequestHash(hash string) bool {
	_, err := hex.DecodeString(hash)
	return err == nil && len(hash) == hex.EncodedLen(sha256.Size)
}

// isRowOf reports whether row is empty or the key of a row of the request with the
// hash.
func isRowOf(row, hash string) bool {
	if row == "" {
		return true
	}
	period, ok := rowPeriod(row)
	return ok && row == rowKey(period, hash)
}

// periodAt returns the number of the period that contains the time.
func periodAt(now time.Time, retention time.Duration) int64 {
	return now.UnixNano() / int64(retention)
}

func rowKey(period int64, hash string) string {
	return fmt.Sprintf("%s%012d/%s", rowPrefix, period, hash)
}

// rowPeriod returns the number of the period in a row's key, and whether the key
// has one.
func rowPeriod(row string) (int64, bool) {
	number, _, found := strings.Cut(strings.TrimPrefix(row, rowPrefix), "/")
	if !found {
		return 0, false
	}
	period, err := strconv.ParseInt(number, 10, 64)
	return period, err == nil
}

// windowKeys appends the keys of the rows that a claim in the period reads.
func windowKeys(keys []string, period int64, hash string) []string {
	for i := range int64(window) {
		keys = append(keys, rowKey(period+i-current, hash))
	}
	return keys
}

// rowValue is the value of a row.
type rowValue struct {
	State state  `json:"state"`
	ID    string `json:"claim-id"`
	// Status is the HTTP status of the response, if the request ran.
	Status int `json:"status,omitempty"`
}

func (v rowValue) encode() []byte {
	b, _ := json.Marshal(v) // Marshalling strings and a number never fails.
	return b
}

// decodeRow returns the value of the row and whether the row exists. A value that
// can't be decoded counts as a held claim.
func decodeRow(row platform.Row) (rowValue, bool) {
	if row.Version == 0 {
		return rowValue{}, false
	}
	var v rowValue
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return rowValue{State: running}, true
	}
	return v, true
}

// hashedRequest identifies a request to its aggregator.
type hashedRequest struct {
	account string
	// hash is the request hash.
	hash string
}

// rowRef refers to one version of a row. row is the row's key.
type rowRef struct {
	row     string
	version uint64
}

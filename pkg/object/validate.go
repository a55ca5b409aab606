package object

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
)

// Limits on the values in objects.
const (
	maxNameBytes        = 63
	maxDescriptionBytes = 1024
	maxPathPrefixBytes  = 1024
	maxRate             = 1e9
	maxTimeoutMs        = 10 * 60 * 1000
	maxVersionBytes     = 128
	maxOverMs           = 24 * 60 * 60 * 1000
	minIsolatedAfterMs  = 15 * 1000
	maxIsolatedAfterMs  = 24 * 60 * 60 * 1000
	saltBytes           = 16
	hashBytes           = 32
	maxQuotedBytes      = 80
)

// DefaultIsolatedAfterMs is the value in milliseconds that is used if
// isolated-after-ms is 0.
const DefaultIsolatedAfterMs = 30 * 1000

var methods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true,
	http.MethodPut: true, http.MethodPatch: true, http.MethodDelete: true,
	http.MethodOptions: true,
}

// Validate checks the object without regard to other objects. It returns all
// errors that it finds, or nil if the object is valid.
func (o Object) Validate() FieldErrors {
	var errs FieldErrors
	if !o.Kind.Valid() {
		errs = append(errs, unknownKind(o.Kind))
	}
	errs = append(errs, validateName("name", o.Name)...)
	if o.Spec == nil {
		return append(errs, FieldError{Field: "spec", Message: "the spec is missing"})
	}
	if o.Spec.Kind() != o.Kind {
		return append(errs, FieldError{Field: "spec", Message: fmt.Sprintf("a spec of a %s cannot stand in a %s", o.Spec.Kind(), o.Kind)})
	}
	return append(errs, o.Spec.Validate().withParent("spec")...)
}

// Kind implements Spec.
func (ClientAccountSpec) Kind() Kind { return KindClientAccount }

// Validate implements Spec.
func (s ClientAccountSpec) Validate() FieldErrors {
	var errs FieldErrors
	if !(s.Rate > 0 && s.Rate <= maxRate) {
		errs = append(errs, FieldError{"rate", "the rate is " + formatNumber(s.Rate), "requests a second, above 0 and at most " + formatNumber(maxRate)})
	}
	if !(s.Burst >= 1 && s.Burst <= maxRate) {
		errs = append(errs, FieldError{"burst", "the burst is " + formatNumber(s.Burst), "requests, at least 1 and at most " + formatNumber(maxRate)})
	}
	if s.Rank < 0 || s.Rank >= UrgencyRanks {
		errs = append(errs, FieldError{"rank", "the rank is " + strconv.Itoa(s.Rank), fmt.Sprintf("0 to %d", UrgencyRanks-1)})
	}
	return errs
}

// Kind implements Spec.
func (KeySpec) Kind() Kind { return KindKey }

// Validate implements Spec.
func (s KeySpec) Validate() FieldErrors {
	errs := validateName("client-account", s.ClientAccount)
	if s.Digest != "" {
		if raw, err := hex.DecodeString(s.Digest); err != nil || len(raw) != hashBytes {
			errs = append(errs, FieldError{"digest", "the digest is not valid", fmt.Sprintf("hexadecimal, %d bytes", hashBytes)})
		}
		return errs
	}
	if raw, err := hex.DecodeString(s.Salt); err != nil || len(raw) != saltBytes {
		errs = append(errs, FieldError{"salt", "the salt is not valid", fmt.Sprintf("hexadecimal, %d bytes", saltBytes)})
	}
	if raw, err := hex.DecodeString(s.Hash); err != nil || len(raw) != hashBytes {
		errs = append(errs, FieldError{"hash", "the hash is not valid", fmt.Sprintf("hexadecimal, %d bytes", hashBytes)})
	}
	return errs
}

// Kind implements Spec.
func (RouteSpec) Kind() Kind { return KindRoute }

// Validate implements Spec.
func (s RouteSpec) Validate() FieldErrors {
	var errs FieldErrors
	if s.Method != "" && !methods[s.Method] {
		errs = append(errs, FieldError{"method", "there is no method " + quote(s.Method), "an HTTP method in capitals; leave it out to match every method"})
	}
	errs = append(errs, validatePathPrefix(s.PathPrefix)...)
	errs = append(errs, s.validateServices()...)
	if s.Urgency >= UrgencyLevels {
		errs = append(errs, FieldError{"urgency", "there is no " + s.Urgency.String(), "one of urgent, normal, deferrable"})
	}
	if s.TimeoutMs < 0 || s.TimeoutMs > maxTimeoutMs {
		errs = append(errs, FieldError{"timeout-ms", "the timeout is " + strconv.Itoa(s.TimeoutMs) + " ms", fmt.Sprintf("milliseconds, 0 to %d", maxTimeoutMs)})
	}
	return errs
}

// validateServices checks the services that get the route's requests.
func (s RouteSpec) validateServices() FieldErrors {
	if len(s.Splits) == 0 {
		return validateName("service", s.Service)
	}
	var errs FieldErrors
	for i, split := range s.Splits {
		field := fmt.Sprintf("splits[%d]", i)
		errs = append(errs, validateName(field+".service", split.Service)...)
		if !(split.Weight >= 0 && split.Weight <= maxRate) {
			errs = append(errs, FieldError{field + ".weight", "the weight is " + formatNumber(split.Weight), "at least 0 and at most " + formatNumber(maxRate)})
		}
	}
	return errs
}

// Kind implements Spec.
func (ServiceSpec) Kind() Kind { return KindService }

// Validate implements Spec.
func (s ServiceSpec) Validate() FieldErrors {
	if len(s.Description) > maxDescriptionBytes {
		return FieldErrors{{"description", fmt.Sprintf("the description has %d bytes", len(s.Description)), fmt.Sprintf("at most %d bytes", maxDescriptionBytes)}}
	}
	return nil
}

// Kind implements Spec.
func (RolloutSpec) Kind() Kind { return KindRollout }

// Validate implements Spec.
func (s RolloutSpec) Validate() FieldErrors {
	var errs FieldErrors
	if !ValidVersion(s.Target) {
		errs = append(errs, FieldError{"target", "the version " + quote(s.Target) + " is not valid", fmt.Sprintf("visible ASCII characters, 1 to %d", maxVersionBytes)})
	}
	if s.OverMs < 1 || s.OverMs > maxOverMs {
		errs = append(errs, FieldError{"over-ms", "the time is " + strconv.Itoa(s.OverMs) + " ms", fmt.Sprintf("milliseconds, 1 to %d", maxOverMs)})
	}
	return errs
}

// ValidVersion reports whether version can be the version of a backend server: 1 to 128
// visible ASCII characters.
func ValidVersion(version string) bool {
	if version == "" || len(version) > maxVersionBytes {
		return false
	}
	for i := range len(version) {
		if version[i] <= ' ' || version[i] > '~' {
			return false
		}
	}
	return true
}

// Kind implements Spec.
func (AvailabilityZoneSpec) Kind() Kind { return KindAvailabilityZone }

// Validate implements Spec.
func (s AvailabilityZoneSpec) Validate() FieldErrors {
	var errs FieldErrors
	switch s.IsolatedKeys {
	case "", IsolatedServe, IsolatedRefuse:
	default:
		errs = append(errs, FieldError{"isolated-keys", "there is no choice " + quote(string(s.IsolatedKeys)), "serve or refuse"})
	}
	if s.IsolatedAfterMs != 0 && (s.IsolatedAfterMs < minIsolatedAfterMs || s.IsolatedAfterMs > maxIsolatedAfterMs) {
		errs = append(errs, FieldError{"isolated-after-ms", "the time is " + strconv.Itoa(s.IsolatedAfterMs) + " ms", fmt.Sprintf("milliseconds, %d to %d, or 0 for %d", minIsolatedAfterMs, maxIsolatedAfterMs, DefaultIsolatedAfterMs)})
	}
	return errs
}

// Redacted returns the object as it is shown to operators: a key comes without
// its salt, its hash and its digest.
func (o Object) Redacted() Object {
	spec, ok := o.Spec.(KeySpec)
	if !ok {
		return o
	}
	spec.Salt = ""
	spec.Hash = ""
	spec.Digest = ""
	o.Spec = spec
	return o
}

// ValidName reports whether name is in kebab case and has at most 63 bytes:
// words of a to z and 0 to 9 with single hyphens between them.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for word := range strings.SplitSeq(name, "-") {
		if word == "" || strings.Trim(word, "abcdefghijklmnopqrstuvwxyz0123456789") != "" {
			return false
		}
	}
	return true
}

func validateName(field, name string) FieldErrors {
	if ValidName(name) {
		return nil
	}
	message := "the name " + quote(name) + " is not in kebab case"
	if name == "" {
		message = "the name is missing"
	}
	return FieldErrors{{field, message, fmt.Sprintf("words of a-z and 0-9 with single hyphens between them, at most %d bytes", maxNameBytes)}}
}

func validatePathPrefix(prefix string) FieldErrors {
	invalid := func(message, hint string) FieldErrors {
		return FieldErrors{{"path-prefix", message, hint}}
	}
	switch {
	case !strings.HasPrefix(prefix, "/"):
		return invalid("the prefix "+quote(prefix)+" does not start with /", "a path such as /rota/claims")
	case len(prefix) > maxPathPrefixBytes:
		return invalid(fmt.Sprintf("the prefix has %d bytes", len(prefix)), fmt.Sprintf("at most %d bytes", maxPathPrefixBytes))
	case prefix == "/":
		return nil
	case strings.ContainsAny(prefix, "?#%\\ \t\r\n\x00"):
		return invalid("the prefix "+quote(prefix)+" has a character that cannot stand in it", "a decoded path without query, fragment, space or backslash")
	}
	for segment := range strings.SplitSeq(prefix[1:], "/") {
		if segment == "" || segment == "." || segment == ".." {
			return invalid("the prefix "+quote(prefix)+" has an empty or a dot segment", "a path such as /rota/claims, without / at its end")
		}
	}
	return nil
}

func formatNumber(f float64) string {
	if math.IsInf(f, 0) || math.IsNaN(f) {
		return "not finite"
	}
	return strconv.FormatFloat(f, 'g', -1, 64)
}

// quote returns text in quotes, truncated to a length that suits an error message.
func quote(text string) string {
	if len(text) > maxQuotedBytes {
		text = text[:maxQuotedBytes] + "..."
	}
	return strconv.Quote(text)
}

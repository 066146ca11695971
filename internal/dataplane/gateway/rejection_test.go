package gateway

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// documentedRule is a row of the table of codes on the operators' page.
type documentedRule struct {
	status     int
	executed   string // no, perhaps, yes
	retryAfter string
}

// documentedCodes reads the table of codes from the operators' page.
func documentedCodes(t *testing.T) map[Code]documentedRule {
	t.Helper()
	page, err := os.ReadFile("../../../docs/operators/platform.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(page), "| status, code | why | it ran | Retry-After |\n")
	if !found {
		t.Fatal("the page has no table of codes")
	}
	table, _, _ = strings.Cut(table, "\n\n")
	codes := map[Code]documentedRule{}
	for _, line := range strings.Split(table, "\n")[1:] {
		cells := strings.Split(strings.Trim(line, "| "), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		for len(cells) < 4 {
			cells = append(cells, "")
		}
		number, _, _ := strings.Cut(cells[0], " ")
		status, _ := strconv.Atoi(number) // 0 for "none,", which stands for no response
		for _, code := range regexp.MustCompile("`([a-z-]+)`").FindAllStringSubmatch(cells[0], -1) {
			codes[Code(code[1])] = documentedRule{status: status, executed: cells[2], retryAfter: cells[3]}
		}
	}
	return codes
}

// The table on the operators' page lists exactly the codes of rejectionRules, with the same status and Retry-After.
func TestRejectionRulesMatchOperatorsPage(t *testing.T) {
	documented := documentedCodes(t)
	for code := range documented {
		if _, known := rejectionRules[code]; !known {
			t.Errorf("the page has the code %q, rejectionRules does not", code)
		}
	}
	for code, rule := range rejectionRules {
		row, found := documented[code]
		if !found {
			t.Errorf("the page lacks the code %q", code)
			continue
		}
		if row.status != rule.status {
			t.Errorf("%s: status on the page got %d, want %d", code, row.status, rule.status)
		}
		if reject(code).promisesNotExecuted() && row.executed != "no" {
			t.Errorf("%s: status %d promises that the request has not run, the page says %q", code, rule.status, row.executed)
		}
		switch {
		case rule.computed:
			if !strings.Contains(row.retryAfter, " to ") {
				t.Errorf("%s: Retry-After on the page got %q, want a range", code, row.retryAfter)
			}
		case rule.retryAfter == 0:
			if row.retryAfter != "" {
				t.Errorf("%s: Retry-After on the page got %q, want none", code, row.retryAfter)
			}
		default:
			got, err := time.ParseDuration(strings.ReplaceAll(row.retryAfter, " ", ""))
			if err != nil || got != rule.retryAfter {
				t.Errorf("%s: Retry-After on the page got %q, want %s", code, row.retryAfter, rule.retryAfter)
			}
		}
	}
}

// Retry-After for an exceeded quota is the time until units are available again, and at least minRetryAfter.
func TestQuotaRetryAfter(t *testing.T) {
	for _, c := range []struct{ availableIn, want time.Duration }{
		{0, minRetryAfter}, {time.Millisecond, minRetryAfter}, {300 * time.Millisecond, 300 * time.Millisecond},
		{1234567 * time.Microsecond, 1235 * time.Millisecond},
	} {
		if got := rejectQuota(c.availableIn).RetryAfter; got != c.want {
			t.Errorf("units available in %s: Retry-After got %s, want %s", c.availableIn, got, c.want)
		}
	}
}

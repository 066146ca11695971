package gateway

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// documentedRule is a row of the operators' table of codes.
type documentedRule struct {
	status     int
	executed   string // no, perhaps, yes
	retryAfter string
}

// documentedCodes reads the operators' table of codes.
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
		status, _ := strconv.Atoi(number) // "none," stands for no response: 0
		for _, code := range regexp.MustCompile("`([a-z-]+)`").FindAllStringSubmatch(cells[0], -1) {
			codes[Code(code[1])] = documentedRule{status: status, executed: cells[2], retryAfter: cells[3]}
		}
	}
	return codes
}

// Every code, its status and its Retry-After stand in the operators' table, and nothing else does.
func TestRejectionRulesMatchOperatorsPage(t *testing.T) {
	documented := documentedCodes(t)
	for code := range documented {
		if _, known := rejectionRules[code]; !known {
			t.Errorf("the page has the code %q, the table of rules has not", code)
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

// A client over its quota is told when units come back, and never to come back at once.
func TestQuotaRetryAfter(t *testing.T) {
	for _, c := range []struct{ unitsBackIn, want time.Duration }{
		{0, minRetryAfter}, {time.Millisecond, minRetryAfter}, {300 * time.Millisecond, 300 * time.Millisecond},
		{1234567 * time.Microsecond, 1235 * time.Millisecond},
	} {
		if got := rejectQuota(c.unitsBackIn).RetryAfter; got != c.want {
			t.Errorf("units back in %s: Retry-After got %s, want %s", c.unitsBackIn, got, c.want)
		}
	}
}

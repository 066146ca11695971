package fleetconfig

import (
	"slices"
	"strings"
)

// Term is one condition of a selector.
type Term struct {
	Key    string
	Op     string // "=", "!=", "in", "notin", "has", "not"
	Values []string
}

// Selector is a list of conditions that must all hold.
type Selector []Term

// ParseSelector reads "model=a, hall in (north,east), gpu, !canary"; the second value is
// the plain sentence of what is wrong, or "".
func ParseSelector(s string) (Selector, string) {
	var out Selector
	for _, part := range splitTerms(s) {
		part = strings.TrimSpace(part)
		if part == "" {
			return nil, "an empty term between commas"
		}
		term, bad := parseTerm(part)
		if bad != "" {
			return nil, bad
		}
		out = append(out, term)
	}
	if len(out) == 0 {
		return nil, "at least one term expected"
	}
	return out, ""
}

// splitTerms splits at commas outside brackets.
func splitTerms(s string) []string {
	var out []string
	deep, from := 0, 0
	for i, c := range s {
		switch c {
		case '(':
			deep++
		case ')':
			deep--
		case ',':
			if deep == 0 {
				out = append(out, s[from:i])
				from = i + 1
			}
		}
	}
	if strings.TrimSpace(s) == "" {
		return nil
	}
	return append(out, s[from:])
}

func parseTerm(s string) (Term, string) {
	if key, val, ok := strings.Cut(s, "!="); ok {
		return checkWords(Term{Op: "!=", Key: strings.TrimSpace(key), Values: []string{strings.TrimSpace(val)}}, s)
	}
	if key, val, ok := strings.Cut(s, "="); ok {
		return checkWords(Term{Op: "=", Key: strings.TrimSpace(key), Values: []string{strings.TrimSpace(val)}}, s)
	}
	if key, rest, ok := strings.Cut(s, "("); ok {
		f := strings.Fields(key)
		rest, end := strings.CutSuffix(strings.TrimSpace(rest), ")")
		if len(f) != 2 || (f[1] != "in" && f[1] != "notin") || !end {
			return Term{}, "term " + s + ": key in (a,b) or key notin (a,b) expected"
		}
		term := Term{Key: f[0], Op: f[1]}
		for _, v := range strings.Split(rest, ",") {
			term.Values = append(term.Values, strings.TrimSpace(v))
		}
		return checkWords(term, s)
	}
	if key, ok := strings.CutPrefix(s, "!"); ok {
		return checkWords(Term{Op: "not", Key: strings.TrimSpace(key)}, s)
	}
	return checkWords(Term{Op: "has", Key: s}, s)
}

func checkWords(term Term, s string) (Term, string) {
	for _, w := range append([]string{term.Key}, term.Values...) {
		if w == "" || strings.ContainsAny(w, " \t\r\n()!=,") {
			return Term{}, "term " + s + ": plain words for key and values expected"
		}
	}
	return term, ""
}

// Match reports whether a label set satisfies every term.
func (s Selector) Match(tags map[string]string) bool {
	for _, term := range s {
		v, has := tags[term.Key]
		ok := false
		switch term.Op {
		case "=", "in":
			ok = has && slices.Contains(term.Values, v)
		case "!=", "notin":
			ok = !has || !slices.Contains(term.Values, v)
		case "has":
			ok = has
		case "not":
			ok = !has
		}
		if !ok {
			return false
		}
	}
	return true
}

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

// Selector is a list of terms that must all match.
type Selector []Term

// ParseSelector parses a selector such as "model=a, hall in (north,east), gpu, !canary". The second result describes the
// first error; it is "" if there is none.
func ParseSelector(s string) (Selector, string) {
	var selector Selector
	for _, text := range splitTerms(s) {
		text = strings.TrimSpace(text)
		if text == "" {
			return nil, "an empty term between commas"
		}
		term, problem := parseTerm(text)
		if problem != "" {
			return nil, problem
		}
		selector = append(selector, term)
	}
	if len(selector) == 0 {
		return nil, "at least one term expected"
	}
	return selector, ""
}

// splitTerms splits a selector at commas outside parentheses.
func splitTerms(s string) []string {
	var terms []string
	depth, start := 0, 0
	for i, c := range s {
		switch c {
		case '(':
			depth++
		case ')':
			depth--
		case ',':
			if depth == 0 {
				terms = append(terms, s[start:i])
				start = i + 1
			}
		}
	}
	if strings.TrimSpace(s) == "" {
		return nil
	}
	return append(terms, s[start:])
}

func parseTerm(s string) (Term, string) {
	if key, value, ok := strings.Cut(s, "!="); ok {
		return checkWords(Term{Op: "!=", Key: strings.TrimSpace(key), Values: []string{strings.TrimSpace(value)}}, s)
	}
	if key, value, ok := strings.Cut(s, "="); ok {
		return checkWords(Term{Op: "=", Key: strings.TrimSpace(key), Values: []string{strings.TrimSpace(value)}}, s)
	}
	if key, rest, ok := strings.Cut(s, "("); ok {
		fields := strings.Fields(key)
		list, closed := strings.CutSuffix(strings.TrimSpace(rest), ")")
		if len(fields) != 2 || (fields[1] != "in" && fields[1] != "notin") || !closed {
			return Term{}, "term " + s + ": key in (a,b) or key notin (a,b) expected"
		}
		term := Term{Key: fields[0], Op: fields[1]}
		for _, value := range strings.Split(list, ",") {
			term.Values = append(term.Values, strings.TrimSpace(value))
		}
		return checkWords(term, s)
	}
	if key, ok := strings.CutPrefix(s, "!"); ok {
		return checkWords(Term{Op: "not", Key: strings.TrimSpace(key)}, s)
	}
	return checkWords(Term{Op: "has", Key: s}, s)
}

// checkWords returns the term, or a problem if its key or a value is no plain word. s is the text of the term.
func checkWords(term Term, s string) (Term, string) {
	for _, word := range append([]string{term.Key}, term.Values...) {
		if word == "" || strings.ContainsAny(word, " \t\r\n()!=,") {
			return Term{}, "term " + s + ": plain words for key and values expected"
		}
	}
	return term, ""
}

// Match reports whether labels match every term.
func (s Selector) Match(labels map[string]string) bool {
	for _, term := range s {
		value, has := labels[term.Key]
		matches := false
		switch term.Op {
		case "=", "in":
			matches = has && slices.Contains(term.Values, value)
		case "!=", "notin":
			matches = !has || !slices.Contains(term.Values, value)
		case "has":
			matches = has
		case "not":
			matches = !has
		}
		if !matches {
			return false
		}
	}
	return true
}

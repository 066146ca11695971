package scale

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Print writes what the runs saw as tables.
//
//	scale.Print(os.Stdout, results)
func Print(out io.Writer, results []*Result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "phase\trole\trouters\trunners\tcore %\tmemory MB\tfiles\tframes out/s\tframes in/s\tKB out/s\tKB in/s\t")
	for _, r := range results {
		for _, p := range r.Phases {
			for _, row := range []struct {
				role string
				load Load
			}{{"router", p.Router}, {"primary", p.Primary}, {"backup", p.Backup}, {"voter", p.Voter}} {
				all := row.load.Total()
				fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.2f\t%.1f\t%d\t%.1f\t%.1f\t%.2f\t%.2f\t\n", p.Name, row.role, r.Settings.Routers, r.Settings.Runners,
					100*row.load.Processor, float64(row.load.Memory)/1e6, row.load.Files, all.FramesSent, all.FramesReceived, all.BytesSent/1e3, all.BytesReceived/1e3)
			}
		}
	}
	table.Flush()
	printKinds(out, results)
	printTimes(out, results)
}

// printKinds writes who sends what, by kind of message.
func printKinds(out io.Writer, results []*Result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\nphase\trole\tkind\trouters\tframes out/s\tframes in/s\tB out/s\tB in/s\t")
	for _, r := range results {
		for _, p := range r.Phases {
			for _, row := range []struct {
				role string
				load Load
			}{{"router", p.Router}, {"primary", p.Primary}, {"backup", p.Backup}} {
				for _, kind := range largest(row.load) {
					k := row.load.Kinds[kind]
					fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.2f\t%.2f\t%.0f\t%.0f\t\n", p.Name, row.role, kind, r.Settings.Routers,
						k.FramesSent, k.FramesReceived, k.BytesSent, k.BytesReceived)
				}
			}
		}
	}
	table.Flush()
}

// largest names the kinds with any traffic worth a row, the most bytes first.
func largest(l Load) []string {
	var kinds []string
	bytes := func(kind string) float64 { return l.Kinds[kind].BytesSent + l.Kinds[kind].BytesReceived }
	for kind := range l.Kinds {
		if bytes(kind) >= 1 {
			kinds = append(kinds, kind)
		}
	}
	slices.SortFunc(kinds, func(a, b string) int { return int(bytes(b) - bytes(a)) })
	return kinds
}

// printTimes writes how long changes took.
func printTimes(out io.Writer, results []*Result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\nms\trouters\tchanges\tanswer, middle\trouter, middle\tlast router, middle\tlast router, longest\t")
	for _, r := range results {
		for _, row := range []struct {
			name   string
			spread Spread
		}{{"configuration", r.Configurations}, {"runner's state", r.Drains}} {
			s := row.spread
			fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t\n", row.name, r.Settings.Routers, len(s.Last),
				ms(middle(s.Acknowledged)), ms(middle(s.All)), ms(middle(s.Last)), ms(longest(s.Last)))
		}
	}
	table.Flush()
	for _, r := range results {
		t := r.Takeover
		fmt.Fprintf(out, "%d routers, %d runners: configuration of %d bytes, read in %s ms; calls without a good answer %d\n",
			r.Settings.Routers, r.Settings.Runners, r.ConfigurationBytes, ms(r.Parse), r.CallsFailed)
		fmt.Fprintf(out, "  primary killed: write taken after %s ms, known to all after %s; all routers follow after %s, have the new registry after %s;\n"+
			"  longest gap between heartbeats %s, most runners missing at a router %d\n",
			ms(t.Write), ms(t.Spread), ms(t.Follow), ms(t.Settled), ms(t.LongestGap), t.Dropped)
	}
}

// ms shows a time in milliseconds.
func ms(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d.Microseconds())/1000) }

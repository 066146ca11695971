//go:build race

package drill

func init() { build = append(build, "-race") }

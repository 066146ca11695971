//go:build race

package drill

func init() { buildArgs = append(buildArgs, "-race") }

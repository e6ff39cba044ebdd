package declaration_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/declaration"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

const good = `
[DataCentre galle]
Region = lk-west

[Model answer]
Version = v1

[Target answer-1]
Model = answer
DataCentre = galle
Address = 127.0.0.1:7000
ColdLimit = 2
`

func build(t *testing.T, text string) (*declaration.Declaration, error) {
	t.Helper()
	document, err := declaration.Parse("fleet.ini", []byte(text))
	if err != nil {
		return nil, err
	}
	return declaration.Build(document, noon)
}

func TestBuildReportsEachProblemOnOneLine(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown field", good + "Colour = red\n", "[Target answer-1] Colour: unknown field of section kind Target"},
		{"unknown kind", good + "[Tree oak]\n", `[Tree oak] unknown section kind "Tree", want one of DataCentre, Host, Model, Target, Store, Workspace, Class, Operation, Exception`},
		{"section without name", good + "[Target]\n", "[Target ] section has no name, want [Kind Name]"},
		{"host name as address", strings.Replace(good, "127.0.0.1:7000", "engine.example:7000", 1), "[Target answer-1] Address: want an IP address and port such as 10.0.0.1:7000, have"},
		{"port out of range", strings.Replace(good, ":7000", ":70000", 1), "[Target answer-1] Address: want an IP address and port such as 10.0.0.1:7000, have"},
		{"undeclared data centre", strings.Replace(good, "DataCentre = galle", "DataCentre = matara", 1), `[Target answer-1] DataCentre: data centre "matara" is not declared`},
		{"undeclared model", strings.Replace(good, "Model = answer", "Model = other", 1), `[Target answer-1] Model: model "other" is not declared`},
		{"warm limit below cold limit", good + "WarmLimit = 1\n", "[Target answer-1] WarmLimit: want at least the ColdLimit of 2, have 1"},
		{"malformed number", good + "Share = much\n", "[Target answer-1] Share: want a number"},
		{"exception without reason", good + "[Exception x]\nSubject = Target answer-1\n", "[Exception x] Reason: is missing; an exception needs a reason"},
		{"exception for undeclared section", good + "[Exception x]\nSubject = Target answer-9\nReason = r\n", "[Exception x] Subject: section [Target answer-9] is not declared"},
		{"malformed time", good + "[Exception x]\nSubject = Target answer-1\nReason = r\nUntil = soon\n", "[Exception x] Until: want an RFC 3339 time"},
		{"duration without unit", good + "[Class nudge]\nDeadline = 5\n", "[Class nudge] Deadline: want a duration such as 1500ms"},
		{"duplicate section", good + "[Model answer]\n", "fleet.ini: [Model answer] duplicate section"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := build(t, c.text)
			var check *declaration.CheckError
			require.ErrorAs(t, err, &check)
			require.Contains(t, check.Error(), c.want)
		})
	}
}

func TestExceptionOverridesFieldsUntilItExpires(t *testing.T) {
	text := good + "[Exception x]\nSubject = DataCentre galle\nState = Out\nReason = flood\nUntil = 2026-12-04T13:00:00Z\n"
	document, err := declaration.Parse("fleet.ini", []byte(text))
	require.NoError(t, err)
	before, err := declaration.Build(document, noon)
	require.NoError(t, err)
	require.False(t, before.TargetInService(before.Targets["answer-1"]))
	require.False(t, before.Expired(noon))
	require.True(t, before.Expired(noon.Add(2*time.Hour)))
	after, err := declaration.Build(document, noon.Add(2*time.Hour))
	require.NoError(t, err)
	require.True(t, after.TargetInService(after.Targets["answer-1"]))
}

func TestExceptionTakesHostWithoutSectionOutOfService(t *testing.T) {
	d, err := build(t, good+"[Exception x]\nSubject = Host host-7\nState = Out\nReason = disk\n")
	require.NoError(t, err)
	require.False(t, d.HostInService("host-7", "galle"))
	require.True(t, d.HostInService("host-8", "galle"))
}

func TestApplyingDiffYieldsSecondDocument(t *testing.T) {
	from, err := declaration.Parse("a", []byte(good))
	require.NoError(t, err)
	to, err := declaration.Parse("b", []byte(strings.Replace(good, "v1", "v2", 1)+"[Class nudge]\nPriority = 1\n"))
	require.NoError(t, err)
	change := declaration.Diff(from, to)
	require.Len(t, change.Put, 2)
	require.Equal(t, to, from.Apply(&change))
	back := declaration.Diff(to, from)
	require.Equal(t, from, to.Apply(&back))
	again := declaration.Diff(to, to)
	require.True(t, again.Empty())
}

func TestFormattedDocumentParsesToTheSame(t *testing.T) {
	document, err := declaration.Parse("a", []byte(good))
	require.NoError(t, err)
	again, err := declaration.Parse("b", []byte(document.String()))
	require.NoError(t, err)
	require.Equal(t, document, again)
}

func TestExampleFilesBuild(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.ini")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		_, err = build(t, string(text))
		require.NoError(t, err, file)
	}
}

func ExampleBuild() {
	document, _ := declaration.Parse("fleet.ini", []byte("[Class nudge]\nDeadline = 2"))
	_, err := declaration.Build(document, time.Now())
	var check *declaration.CheckError
	if errors.As(err, &check) {
		fmt.Println(check)
	}
	// Output: [Class nudge] Deadline: want a duration such as 1500ms, have "2"
}

// BenchmarkApply applies a change of one workspace to a document with 23,000
// workspaces and builds the result.
func BenchmarkApply(b *testing.B) {
	document := make(declaration.Document)
	workspace := func(i int, policy string) declaration.Section {
		return declaration.Section{
			ID: declaration.SectionID{Kind: declaration.KindWorkspace, Name: fmt.Sprint("workspace-", i)},
			Fields: []declaration.Field{
				{Key: "KeyHash", Text: fmt.Sprintf("%064x", i)}, {Key: "Policy", Text: policy},
			},
		}
	}
	for i := range 23_000 {
		section := workspace(i, "Reuse")
		document[section.ID] = section
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		change := declaration.Change{Put: []declaration.Section{workspace(i%23_000, "FirstToken")}}
		if _, err := declaration.Build(document.Apply(&change), noon); err != nil {
			b.Fatal(err)
		}
	}
}

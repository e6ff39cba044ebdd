package wire_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/election"
	"hibiscuslb/fleet/origin"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/rollout"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
)

// Samples are encoded by the programs of a commit, one file for each message and stored object, with
// a value other than zero in each field: testdata/COMMIT/TYPE.cbor or .json.

var writeSamples = flag.String("write-samples", "", "directory to which the samples of this build are written")

// messages are what hosts send to each other, and what a configuration or list of objects travels as.
var messages = []any{
	wire.Heartbeat{}, wire.HeartbeatReply{}, wire.ChangesRequest{}, wire.ChangesReply{}, wire.PlanRequest{}, wire.PlanReply{},
	wire.Reports{}, wire.ReportsReply{}, wire.RenewRequest{}, wire.RenewReply{}, wire.RelayRequest{}, wire.RelayPart{}, wire.RelayGo{}, wire.RelayCredit{},
	platform.Listing{}, platform.Changes{},
}

// objects are what hosts store.
var objects = []any{election.Record{}, wire.Host{}, rollout.Record{}, struct{ Batches []origin.Batch }{}}

// sampleName returns the name of a type's sample without its extension.
func sampleName(message any) string {
	if name := reflect.TypeOf(message).String(); !strings.Contains(name, " ") {
		return name
	}
	return "origins"
}

// fill sets v and all that it holds to values that follow from the path.
func fill(v reflect.Value, path string) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(path))
	number := int64(hash.Sum32()%100) + 1
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf(time.Unix(1_700_000_000+number, 0).UTC()))
		return
	case json.RawMessage:
		v.SetBytes([]byte(fmt.Sprintf(`{"n":%d}`, number)))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprint("s", number))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(number)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(number))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(number) / 4)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), path)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(v.Index(i), fmt.Sprint(path, i))
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), fmt.Sprint(path, i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, path+"key")
		fill(value, path+"value")
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				fill(v.Field(i), path+"."+f.Name)
			}
		}
	}
}

// TestWriteSamples writes the samples of this build if a directory is given.
func TestWriteSamples(t *testing.T) {
	if *writeSamples == "" {
		t.Skip("no -write-samples")
	}
	require.NoError(t, os.MkdirAll(*writeSamples, 0o777))
	for encoding, list := range map[string][]any{"cbor": messages, "json": objects} {
		for _, message := range list {
			value := reflect.New(reflect.TypeOf(message)).Elem()
			fill(value, "")
			data, err := marshal(encoding, value.Interface())
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(filepath.Join(*writeSamples, sampleName(message)+"."+encoding), data, 0o666))
		}
	}
}

func marshal(encoding string, message any) ([]byte, error) {
	if encoding == "json" {
		return json.Marshal(message)
	}
	return cbor.Marshal(message)
}

func unmarshal(encoding string, data []byte, message any) error {
	if encoding == "json" {
		return json.Unmarshal(data, message)
	}
	return cbor.Unmarshal(data, message)
}

// lost returns the paths of what the sample has and the copy has not, or has otherwise.
func lost(path string, sample, copied any) []string {
	var paths []string
	switch sample := sample.(type) {
	case map[any]any:
		fields, _ := copied.(map[any]any)
		for name, value := range sample {
			paths = append(paths, lost(fmt.Sprint(path, ".", name), value, fields[name])...)
		}
	case map[string]any:
		fields, _ := copied.(map[string]any)
		for name, value := range sample {
			paths = append(paths, lost(path+"."+name, value, fields[name])...)
		}
	case []any:
		list, _ := copied.([]any)
		if len(list) != len(sample) {
			return []string{path}
		}
		for i, value := range sample {
			paths = append(paths, lost(path+"[]", value, list[i])...)
		}
	default:
		if !reflect.DeepEqual(sample, copied) {
			return []string{path}
		}
	}
	return paths
}

// retired lists the fields of earlier builds that this one does not read, each with what it does instead.
var retired = map[string]string{
	"wire.RelayRequest.Body": "sent under kind 6, which is refused: the host that asked learns that it was not sent",
}

// TestMessagesOfEarlierBuildsAreRead guards against a field that changes its name or type: hosts of an earlier build
// would go on to send the old one, and this build would take it for absent.
func TestMessagesOfEarlierBuildsAreRead(t *testing.T) {
	for encoding, list := range map[string][]any{"cbor": messages, "json": objects} {
		for _, message := range list {
			samples, err := filepath.Glob("testdata/*/" + sampleName(message) + "." + encoding)
			require.NoError(t, err)
			require.NotEmpty(t, samples, "%T has no sample", message)
			for _, sample := range samples {
				data, err := os.ReadFile(sample)
				require.NoError(t, err)
				read := reflect.New(reflect.TypeOf(message)).Interface()
				require.NoError(t, unmarshal(encoding, data, read), sample)
				written, err := marshal(encoding, read)
				require.NoError(t, err)
				var before, after any
				require.NoError(t, unmarshal(encoding, data, &before))
				require.NoError(t, unmarshal(encoding, written, &after))
				for _, path := range lost(sampleName(message), before, after) {
					require.Contains(t, retired, path, "%s: this build does not read it", sample)
				}
			}
		}
	}
}

// TestNumbersKeepTheirMeaning guards against a number that is used again: hosts of an earlier build take it for what it
// meant there.
func TestNumbersKeepTheirMeaning(t *testing.T) {
	for number, kind := range map[int]peer.Kind{
		1: wire.KindHeartbeat, 2: wire.KindChanges, 3: wire.KindPlan, 4: wire.KindReports, 5: wire.KindRenew, 7: wire.KindRelayCredit,
		8: wire.KindRelay, 9: wire.KindRelayGo,
	} {
		require.EqualValues(t, number, kind)
	}
	for number, result := range []wire.RelayResult{
		wire.RelayBegun, wire.RelayMore, wire.RelayComplete, wire.RelayBroken, wire.RelayNoAnswer, wire.RelayNoWay, wire.RelayCutOff, wire.RelayRefused,
		wire.RelayReady,
	} {
		require.EqualValues(t, number+1, result)
	}
	for number, progress := range []plan.Progress{
		plan.Started, plan.Done, plan.Rejected, plan.Failed, plan.Unreachable, plan.Mismatched, plan.Abandoned, plan.Answered, plan.ServerError,
	} {
		require.EqualValues(t, number, progress)
	}
	for number, outcome := range []fleet.Outcome{fleet.OutcomeNotRun, fleet.OutcomeRan, fleet.OutcomeUnknown} {
		require.EqualValues(t, number, outcome)
	}
}

// FuzzMessages decodes what another host could send, or the object store could hold, as each type.
func FuzzMessages(f *testing.F) {
	for encoding, list := range map[string][]any{"cbor": messages, "json": objects} {
		for _, message := range list {
			samples, err := filepath.Glob("testdata/*/" + sampleName(message) + "." + encoding)
			require.NoError(f, err)
			for _, sample := range samples {
				data, err := os.ReadFile(sample)
				require.NoError(f, err)
				f.Add(data)
			}
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for encoding, list := range map[string][]any{"cbor": messages, "json": objects} {
			for _, message := range list {
				read := reflect.New(reflect.TypeOf(message)).Interface()
				if unmarshal(encoding, data, read) != nil {
					continue
				}
				_, err := marshal(encoding, read)
				require.NoError(t, err, "a %T that was read can't be written", message)
			}
		}
	})
}

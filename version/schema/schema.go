// Package schema generates the JSON Schema of the configuration from its Go types.
package schema

import (
	"encoding/json"
	"reflect"

	"github.com/invopop/jsonschema"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/version"
)

// Generate returns the schema of one configuration file as indented JSON. No section
// is required, since a configuration may be split over several files.
func Generate() ([]byte, error) {
	reflector := &jsonschema.Reflector{Anonymous: true, ExpandedStruct: true, Mapper: schemaFor}
	schema := reflector.Reflect(&version.Document{})
	schema.Title = "mulberrylane configuration"
	schema.Required = nil
	data, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "schema")
	}
	return append(data, '\n'), nil
}

// durationPattern matches what time.ParseDuration accepts, without a sign.
const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`

// enums lists the values of the closed string types.
var enums = map[reflect.Type][]any{
	reflect.TypeFor[version.ServiceKind]():    {version.ModelService, version.ApplicationService},
	reflect.TypeFor[version.HedgePolicy]():    {version.HedgeNever, version.HedgeOnSuspicion},
	reflect.TypeFor[version.DrainPolicy]():    {version.DrainFinish, version.DrainMove},
	reflect.TypeFor[version.OverloadPolicy](): {version.OverloadQueue, version.OverloadRefuse},
	reflect.TypeFor[version.SpreadPolicy]():   {version.SpreadNone, version.SpreadPrefer, version.SpreadRequire},
	reflect.TypeFor[version.StalePolicy]():    {version.StaleServe, version.StaleRefuse},
}

func schemaFor(t reflect.Type) *jsonschema.Schema {
	if t == reflect.TypeFor[version.Duration]() {
		return &jsonschema.Schema{Type: "string", Pattern: durationPattern}
	}
	if values, ok := enums[t]; ok {
		return &jsonschema.Schema{Type: "string", Enum: values}
	}
	return nil
}

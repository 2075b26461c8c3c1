package operator

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/operator/operatorpb"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// engineFromProto converts the engine settings of a service; nil means that the service has no engines.
func engineFromProto(engine *operatorpb.Engine) *configurator.Engine {
	if engine == nil {
		return nil
	}
	return &configurator.Engine{
		Models:   engine.GetModels(),
		Slots:    int(engine.GetSlots()),
		Tokens:   engine.GetTokens(),
		Bytes:    engine.GetBytes(),
		Adapters: int(engine.GetAdapters()),
		Loads:    engine.GetLoads(),
	}
}

// engineToProto is the inverse of engineFromProto.
func engineToProto(engine *configurator.Engine) *operatorpb.Engine {
	if engine == nil {
		return nil
	}
	return &operatorpb.Engine{
		Models:   engine.Models,
		Slots:    int32(engine.Slots),
		Tokens:   engine.Tokens,
		Bytes:    engine.Bytes,
		Adapters: int32(engine.Adapters),
		Loads:    engine.Loads,
	}
}

func routeFromProto(route *operatorpb.Route) *configurator.Route {
	converted := &configurator.Route{
		Name:      route.GetName(),
		Host:      route.GetHost(),
		Prefix:    route.GetPrefix(),
		Once:      route.GetOnce(),
		Stream:    route.GetStream(),
		Resumable: route.GetResumable(),
		Open:      route.GetOpen(),
		Timeout:   time.Duration(route.GetTimeout()),
		Objective: time.Duration(route.GetObjective()),
		Gap:       time.Duration(route.GetGap()),
		Patience:  time.Duration(route.GetPatience()),
		Attempts:  int(route.GetAttempts()),
		Priority:  int(route.GetPriority()),
		Affinity:  route.GetAffinity(),
		Regions:   route.GetRegions(),
	}
	for _, target := range route.GetTargets() {
		converted.Targets = append(converted.Targets, configurator.Target{
			Service: target.GetService(),
			Weight:  int(target.GetWeight()),
		})
	}
	return converted
}

func routeToProto(route configurator.Route) *operatorpb.Route {
	message := &operatorpb.Route{
		Name:      route.Name,
		Host:      route.Host,
		Prefix:    route.Prefix,
		Once:      route.Once,
		Stream:    route.Stream,
		Resumable: route.Resumable,
		Open:      route.Open,
		Timeout:   int64(route.Timeout),
		Objective: int64(route.Objective),
		Gap:       int64(route.Gap),
		Patience:  int64(route.Patience),
		Attempts:  int32(route.Attempts),
		Priority:  int32(route.Priority),
		Affinity:  route.Affinity,
		Regions:   route.Regions,
	}
	for _, target := range route.Targets {
		message.Targets = append(message.Targets, &operatorpb.Target{
			Service: target.Service,
			Weight:  int32(target.Weight),
		})
	}
	return message
}

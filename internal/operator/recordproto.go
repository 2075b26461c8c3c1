package operator

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/operator/operatorpb"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// operationFromProto converts an operation of a request.
func operationFromProto(operation *operatorpb.Operation) configurator.Operation {
	converted := recordFromProto(operation.GetRecord())
	converted.Action = configurator.Action(operation.GetAction())
	return converted
}

// operationToProto converts an operation for a request.
func operationToProto(operation configurator.Operation) *operatorpb.Operation {
	return &operatorpb.Operation{
		Action: string(operation.Action),
		Record: recordToProto(operation),
	}
}

// recordFromProto returns an operation with the field of the record's kind set and without an action.
func recordFromProto(record *operatorpb.Record) configurator.Operation {
	var operation configurator.Operation
	switch kind := record.GetKind().(type) {
	case *operatorpb.Record_Team:
		operation.Team = &configurator.Team{
			Name:      kind.Team.GetName(),
			Rate:      kind.Team.GetRate(),
			Burst:     kind.Team.GetBurst(),
			Unlimited: kind.Team.GetUnlimited(),
			Charge:    kind.Team.GetCharge(),
			Flat:      kind.Team.GetFlat(),
			Ranked:    kind.Team.GetRanked(),
			Priority:  int(kind.Team.GetPriority()),
			Regions:   kind.Team.GetRegions(),
		}
	case *operatorpb.Record_Key:
		operation.Key = &configurator.Key{
			Name:  kind.Key.GetName(),
			Team:  kind.Key.GetTeam(),
			Hash:  kind.Key.GetHash(),
			Batch: kind.Key.GetBatch(),
		}
	case *operatorpb.Record_Model:
		operation.Model = modelFromProto(kind.Model)
	case *operatorpb.Record_Version:
		operation.Version = versionFromProto(kind.Version)
	case *operatorpb.Record_Adapter:
		operation.Adapter = adapterFromProto(kind.Adapter)
	case *operatorpb.Record_Batch:
		operation.Batch = &configurator.Batch{
			Name:   kind.Batch.GetName(),
			Detail: kind.Batch.GetDetail(),
		}
	case *operatorpb.Record_Service:
		operation.Service = serviceFromProto(kind.Service)
	case *operatorpb.Record_Route:
		operation.Route = routeFromProto(kind.Route)
	case *operatorpb.Record_Upstream:
		operation.Upstream = &configurator.Upstream{
			Name:    kind.Upstream.GetName(),
			Fencing: kind.Upstream.GetFencing(),
			Bytes:   kind.Upstream.GetBytes(),
		}
	}
	return operation
}

func modelFromProto(model *operatorpb.Model) *configurator.Model {
	return &configurator.Model{
		Name:          model.GetName(),
		Teams:         model.GetTeams(),
		Version:       model.GetVersion(),
		Replicas:      int(model.GetReplicas()),
		AdapterBytes:  model.GetAdapterBytes(),
		BytesPerToken: model.GetBytesPerToken(),
		Load:          time.Duration(model.GetLoad()),
		DiskLoad:      time.Duration(model.GetDiskLoad()),
		MemoryLoad:    time.Duration(model.GetMemoryLoad()),
	}
}

func versionFromProto(version *operatorpb.Version) *configurator.Version {
	return &configurator.Version{
		Model:      version.GetModel(),
		Name:       version.GetName(),
		Checkpoint: version.GetCheckpoint(),
		Bytes:      version.GetBytes(),
		Batch:      version.GetBatch(),
	}
}

func adapterFromProto(adapter *operatorpb.Adapter) *configurator.Adapter {
	return &configurator.Adapter{
		Name:  adapter.GetName(),
		Model: adapter.GetModel(),
		Teams: adapter.GetTeams(),
		Bytes: adapter.GetBytes(),
		Batch: adapter.GetBatch(),
	}
}

func serviceFromProto(service *operatorpb.Service) *configurator.Service {
	return &configurator.Service{
		Name:        service.GetName(),
		Path:        service.GetPath(),
		Teams:       service.GetTeams(),
		Open:        service.GetOpen(),
		Once:        service.GetOnce(),
		Connections: int(service.GetConnections()),
		ColdRate:    service.GetColdrate(),
		Engine:      engineFromProto(service.GetEngine()),
	}
}

// recordToProto converts the record of an operation, that is, its only field that is not nil.
func recordToProto(operation configurator.Operation) *operatorpb.Record {
	message := &operatorpb.Record{}
	switch {
	case operation.Team != nil:
		message.Kind = &operatorpb.Record_Team{
			Team: &operatorpb.Team{
				Name:      operation.Team.Name,
				Rate:      operation.Team.Rate,
				Burst:     operation.Team.Burst,
				Unlimited: operation.Team.Unlimited,
				Charge:    operation.Team.Charge,
				Flat:      operation.Team.Flat,
				Ranked:    operation.Team.Ranked,
				Priority:  int32(operation.Team.Priority),
				Regions:   operation.Team.Regions,
			},
		}
	case operation.Key != nil:
		message.Kind = &operatorpb.Record_Key{
			Key: keyToProto(*operation.Key),
		}
	case operation.Model != nil:
		message.Kind = &operatorpb.Record_Model{
			Model: modelToProto(*operation.Model),
		}
	case operation.Version != nil:
		message.Kind = &operatorpb.Record_Version{
			Version: versionToProto(*operation.Version),
		}
	case operation.Adapter != nil:
		message.Kind = &operatorpb.Record_Adapter{
			Adapter: adapterToProto(*operation.Adapter),
		}
	case operation.Batch != nil:
		message.Kind = &operatorpb.Record_Batch{
			Batch: &operatorpb.Batch{
				Name:   operation.Batch.Name,
				Detail: operation.Batch.Detail,
			},
		}
	case operation.Service != nil:
		message.Kind = &operatorpb.Record_Service{
			Service: serviceToProto(*operation.Service),
		}
	case operation.Route != nil:
		message.Kind = &operatorpb.Record_Route{
			Route: routeToProto(*operation.Route),
		}
	case operation.Upstream != nil:
		message.Kind = &operatorpb.Record_Upstream{
			Upstream: &operatorpb.Upstream{
				Name:    operation.Upstream.Name,
				Fencing: operation.Upstream.Fencing,
				Bytes:   operation.Upstream.Bytes,
			},
		}
	}
	return message
}

func keyToProto(key configurator.Key) *operatorpb.Key {
	return &operatorpb.Key{
		Name:  key.Name,
		Team:  key.Team,
		Hash:  key.Hash,
		Batch: key.Batch,
	}
}

func modelToProto(model configurator.Model) *operatorpb.Model {
	return &operatorpb.Model{
		Name:          model.Name,
		Teams:         model.Teams,
		Version:       model.Version,
		Replicas:      int32(model.Replicas),
		AdapterBytes:  model.AdapterBytes,
		BytesPerToken: model.BytesPerToken,
		Load:          int64(model.Load),
		DiskLoad:      int64(model.DiskLoad),
		MemoryLoad:    int64(model.MemoryLoad),
	}
}

func versionToProto(version configurator.Version) *operatorpb.Version {
	return &operatorpb.Version{
		Model:      version.Model,
		Name:       version.Name,
		Checkpoint: version.Checkpoint,
		Bytes:      version.Bytes,
		Batch:      version.Batch,
	}
}

func adapterToProto(adapter configurator.Adapter) *operatorpb.Adapter {
	return &operatorpb.Adapter{
		Name:  adapter.Name,
		Model: adapter.Model,
		Teams: adapter.Teams,
		Bytes: adapter.Bytes,
		Batch: adapter.Batch,
	}
}

func serviceToProto(service configurator.Service) *operatorpb.Service {
	return &operatorpb.Service{
		Name:        service.Name,
		Path:        service.Path,
		Teams:       service.Teams,
		Open:        service.Open,
		Once:        service.Once,
		Connections: int32(service.Connections),
		Coldrate:    service.ColdRate,
		Engine:      engineToProto(service.Engine),
	}
}

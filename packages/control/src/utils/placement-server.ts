import type { HostEntry, Locality } from "@skylarkmill/adapters";
import type { PlacementServer } from "@skylarkmill/policy";
import { type ModelId, type ServerId, type ServerStatus, toId } from "@skylarkmill/protocol";

function isLocality(text: string): text is Locality {
    return text === "memory" || text === "disk" || text === "remote";
}

/** Localities by status message, cached since the same message is read in many placement rounds. */
const localitiesByStatus = new WeakMap<ServerStatus, ReadonlyMap<ModelId, Locality>>();

function getLocalities(status: ServerStatus): ReadonlyMap<ModelId, Locality> {
    const known = localitiesByStatus.get(status);
    if (known !== undefined) return known;
    const locality = new Map<ModelId, Locality>();
    for (const model of status.models) {
        if (isLocality(model.locality)) locality.set(toId<ModelId>(model.modelId), model.locality);
    }
    localitiesByStatus.set(status, locality);
    return locality;
}

/**
 * Converts a backend server's host list entry and its agent's status to the input of the placement policy.
 *
 * @example
 * toPlacementServer(host, status, false).memorySizeBytes;
 */
export function toPlacementServer(host: HostEntry, status: ServerStatus, draining: boolean): PlacementServer {
    return {
        serverId: host.serverId ?? toId<ServerId>(status.serverId),
        hostId: host.hostId,
        dataCentre: host.dataCentre,
        memorySizeBytes: Number(status.memorySizeBytes),
        draining,
        locality: getLocalities(status),
    };
}

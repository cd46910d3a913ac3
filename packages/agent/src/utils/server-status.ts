import { create, toJsonString } from "@bufbuild/protobuf";
import { type ServerId, type ServerStatus, ServerStatusSchema } from "@skylarkmill/protocol";
import type { BackendTask } from "../runtime/backend-task.ts";
import type { ReplicaSet } from "../runtime/replica-set.ts";

export interface StatusSources {
    readonly serverId: ServerId;
    readonly task: BackendTask;
    readonly replicas: ReplicaSet | undefined;
    readonly isDraining: () => boolean;
}

/** The status of the backend server; the model list is left out of the copy on every answer. */
export function serverStatus(sources: StatusSources, withModels: boolean): ServerStatus {
    const { serverId, task, replicas } = sources;
    return create(ServerStatusSchema, {
        serverId,
        queuedCount: task.queuedCount,
        runningCount: task.runningCount,
        slotCount: task.slotCount,
        backlogMs: Math.round(task.backlogMs(Date.now())),
        slownessPermille: Math.round(task.slowness * 1000),
        draining: sources.isDraining(),
        memorySizeBytes: BigInt(replicas?.ledger.sizeBytes ?? 0),
        memoryReservedBytes: BigInt(replicas?.ledger.reservedBytes ?? 0),
        models: withModels ? replicas?.models() ?? [] : [],
        acceptsLoads: replicas?.rules.acceptsLoads ?? true,
    });
}

/** Value of the load header. */
export function loadHeader(sources: StatusSources): string {
    return toJsonString(ServerStatusSchema, serverStatus(sources, false));
}

import { create, toJsonString } from "@bufbuild/protobuf";
import { type ServerId, type ServerStatus, ServerStatusSchema } from "@skylarkmill/protocol";
import type { BackendTask } from "../runtime/backend-task.ts";
import type { ReplicaSet } from "../runtime/replica-set.ts";

export interface ServerStatusSources {
    readonly serverId: ServerId;
    readonly task: BackendTask;
    readonly replicas: ReplicaSet | undefined;
    readonly isDraining: () => boolean;
}

/** Creates the status of the backend server. The copy in response headers omits the list of models. */
export function createServerStatus(sources: ServerStatusSources, includesModels: boolean): ServerStatus {
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
        models: includesModels ? replicas?.modelStatuses() ?? [] : [],
        acceptsLoads: replicas?.rules.acceptsLoads ?? true,
    });
}

/** Returns the value of the response header with the server's status. */
export function createServerLoadHeader(sources: ServerStatusSources): string {
    return toJsonString(ServerStatusSchema, createServerStatus(sources, false));
}

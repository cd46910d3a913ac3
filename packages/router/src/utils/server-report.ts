import type { ServerStatus } from "@skylarkmill/protocol";
import type { ModelReport, ServerReport } from "../types/server.ts";

interface RawModel {
    readonly modelId?: string;
    readonly state?: string;
    readonly adapterIds?: readonly string[];
}

type RawStatus = Partial<Omit<ServerStatus, "models">> & { readonly models?: readonly RawModel[]; };

function toReport(status: RawStatus, nowMs: number): ServerReport {
    return {
        queuedCount: status.queuedCount ?? 0,
        runningCount: status.runningCount ?? 0,
        slotCount: status.slotCount ?? 0,
        backlogMs: status.backlogMs ?? 0,
        slowness: (status.slownessPermille ?? 1000) / 1000,
        draining: status.draining ?? false,
        models: status.models === undefined ? undefined : toModels(status.models, nowMs),
    };
}

function toModels(models: readonly RawModel[], seenAtMs: number): ReadonlyMap<string, ModelReport> {
    return new Map(
        models.map(model => [
            model.modelId ?? "",
            { seenAtMs, state: model.state ?? "absent", adapterIds: model.adapterIds ?? [] },
        ]),
    );
}

/** Converts the status message from a probe response. */
export function readServerStatus(status: ServerStatus, nowMs: number): ServerReport {
    return toReport(status, nowMs);
}

/**
 * Parses the load header (protobuf JSON of `ServerStatus`, in which default values are omitted).
 * Returns undefined if it is invalid: reports only improve server choice, so the response is served without one.
 *
 * @example
 * parseLoadHeader("{\"queuedCount\":2}", nowMs())?.queuedCount; // 2
 */
export function parseLoadHeader(header: string, nowMs: number): ServerReport | undefined {
    try {
        const status = JSON.parse(header) as unknown;
        return typeof status === "object" && status ? toReport(status, nowMs) : undefined;
    }
    catch {
        return undefined;
    }
}

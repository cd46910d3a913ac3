import type { ServerStatus } from "@skylarkmill/protocol";
import type { ModelReport, ServerReport } from "../types/server.ts";

interface RawModelStatus {
    readonly modelId?: string;
    readonly state?: string;
    readonly adapterIds?: readonly string[];
}

type RawServerStatus = Partial<Omit<ServerStatus, "models">> & { readonly models?: readonly RawModelStatus[]; };

function toServerReport(status: RawServerStatus, nowMs: number): ServerReport {
    return {
        queuedCount: status.queuedCount ?? 0,
        runningCount: status.runningCount ?? 0,
        slotCount: status.slotCount ?? 0,
        backlogMs: status.backlogMs ?? 0,
        slowness: (status.slownessPermille ?? 1000) / 1000,
        isDraining: status.draining ?? false,
        models: status.models === undefined ? undefined : toModelReports(status.models, nowMs),
    };
}

function toModelReports(models: readonly RawModelStatus[], seenAtMs: number): ReadonlyMap<string, ModelReport> {
    return new Map(
        models.map(model => [
            model.modelId ?? "",
            { seenAtMs, state: model.state ?? "absent", adapterIds: model.adapterIds ?? [] },
        ]),
    );
}

/** Converts the status message of a probe response to a report. */
export function createServerReport(status: ServerStatus, nowMs: number): ServerReport {
    return toServerReport(status, nowMs);
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
        return typeof status === "object" && status ? toServerReport(status, nowMs) : undefined;
    }
    catch {
        return undefined;
    }
}

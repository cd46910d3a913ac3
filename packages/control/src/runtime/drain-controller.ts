import { type AuditEntry, createAuditPut, type DrainRecord, KEYS, toAuditedName } from "@skylarkmill/config";
import { ConflictError, type EditId, type HostId, OutcomeUnknownError, type TeamId } from "@skylarkmill/protocol";
import type { OperatorResponse, ResolvedOperatorOptions } from "../types/operator.ts";
import { createErrorResponse, createUnavailableResponse } from "../utils/operator-responses.ts";
import type { AuditLog } from "./audit-log.ts";

/** A request to start or end the drain of a host. */
export interface DrainChange {
    readonly team: TeamId;
    readonly hostId: HostId;
    readonly draining: boolean;
    readonly editId: EditId;
}

/** Maximum number of attempts to write the drain record while other operators change it. */
const MAX_ATTEMPTS = 3;

/** Records that a host shall be drained or not, then notifies the host's agent. */
export class DrainController {
    constructor(private readonly options: ResolvedOperatorOptions, private readonly audit: AuditLog) {}

    /** Starts or ends the drain of a host. */
    async setDraining(change: DrainChange): Promise<OperatorResponse> {
        const refreshed = await this.options.records.refresh();
        if (refreshed.isErr()) return createUnavailableResponse(refreshed.error, { outcome: "not_accepted" });
        const isKnown = this.findHost(change.hostId) !== undefined
            || this.findRecord(change.hostId)?.value !== undefined;
        if (!isKnown) return createErrorResponse(404, "unknown_host", `Host ${change.hostId} is not in the host list.`);
        const errorResponse = await this.writeRecord(change);
        return errorResponse ?? this.notifyAgent(change);
    }

    private findRecord(hostId: HostId) {
        return this.options.records.get<DrainRecord>(KEYS.drain(hostId));
    }

    private findHost(hostId: HostId) {
        return this.options.membership.hosts().find(host => host.hostId === hostId);
    }

    /** Writes the drain record unless it is up to date; returns a response only when that failed. */
    private async writeRecord(change: DrainChange): Promise<OperatorResponse | undefined> {
        const { records, logger } = this.options;
        for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
            const record = this.findRecord(change.hostId);
            if ((record?.value !== undefined) === change.draining) return undefined;
            const entry = createAuditEntry(change, record?.version ?? 0);
            const extraPuts = [createAuditPut(entry)];
            const written = await records.write<DrainRecord>({
                key: KEYS.drain(change.hostId),
                expectedVersion: record?.version ?? 0,
                value: change.draining
                    ? { hostId: change.hostId, requestedBy: change.team, requestedAtMs: entry.atMs }
                    : undefined,
                editId: change.editId,
                extraPuts,
            });
            if (written.isOk()) {
                logger.info(
                    { step: "drain", peer: change.hostId, who: change.team, draining: change.draining },
                    "drain record changed",
                );
                void this.audit.retainAndPrune("drains", entry.section, entry.versionAfter, extraPuts);
                return undefined;
            }
            if (written.error instanceof ConflictError) continue;
            const isUnknown = written.error instanceof OutcomeUnknownError;
            return createUnavailableResponse(written.error, { outcome: isUnknown ? "unknown" : "not_accepted" });
        }
        return createErrorResponse(
            409,
            "conflict",
            `The drain of ${change.hostId} is being changed by others; try again.`,
            {
                outcome: "not_accepted",
            },
        );
    }

    /**
     * Notifies the agent so that the change takes effect at once. If the call fails, the change takes effect when the
     * agent reads the record.
     */
    private async notifyAgent(change: DrainChange): Promise<OperatorResponse> {
        const { hostId, draining } = change;
        const host = this.findHost(hostId);
        const body = { outcome: "accepted", hostId, draining };
        if (host?.role !== "backend" || host.state === "gone") return { status: 200, body: { ...body, agent: "none" } };
        try {
            const signal = AbortSignal.timeout(this.options.peerTimeoutMs);
            const response = await this.options.peers.drain(host, { hostId, draining }, signal);
            const inProgressCount = response.inProgressCount;
            return { status: 200, body: { ...body, agent: "informed", inProgressCount } };
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            this.options.logger.warn({ step: "drain.call", peer: hostId, reason }, "failed to notify the agent");
            return { status: 202, body: { ...body, agent: "not_reached", reason } };
        }
    }
}

function createAuditEntry(change: DrainChange, versionBefore: number): AuditEntry {
    const [before, after] = change.draining ? ["false", "true"] : ["true", "false"];
    return {
        atMs: Date.now(),
        who: change.team,
        section: toAuditedName("drains", change.hostId),
        versionBefore,
        versionAfter: versionBefore + 1,
        editId: change.editId,
        changes: [`draining: ${before} -> ${after}`],
    };
}

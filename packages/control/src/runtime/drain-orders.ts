import { type AuditEntry, auditPut, auditSection, type DrainRecord, KEYS } from "@skylarkmill/config";
import { ConflictError, type EditId, type HostId, OutcomeUnknownError, type TeamId } from "@skylarkmill/protocol";
import type { OperatorAnswer, ResolvedOperatorOptions } from "../types/operator.ts";
import { refuse, unavailable } from "../utils/operator-answers.ts";
import type { AuditLog } from "./audit-log.ts";

export interface DrainOrder {
    readonly team: TeamId;
    readonly hostId: HostId;
    readonly draining: boolean;
    readonly editId: EditId;
}

/** Attempts when another operator writes the same host's record at the same moment. */
const MAX_ATTEMPTS = 3;

/** Records an operator's drain of a host, then tells the host's agent. */
export class DrainOrders {
    constructor(private readonly options: ResolvedOperatorOptions, private readonly audit: AuditLog) {}

    async order(order: DrainOrder): Promise<OperatorAnswer> {
        const refreshed = await this.options.records.refresh();
        if (refreshed.isErr()) return unavailable(refreshed.error, { outcome: "not_accepted" });
        const known = this.findHost(order.hostId) !== undefined || this.record(order.hostId)?.value !== undefined;
        if (!known) return refuse(404, "unknown_host", `Host ${order.hostId} is not in the host list.`);
        const refusal = await this.writeRecord(order);
        return refusal ?? this.tellAgent(order);
    }

    private record(hostId: HostId) {
        return this.options.records.get<DrainRecord>(KEYS.drain(hostId));
    }

    private findHost(hostId: HostId) {
        return this.options.membership.hosts().find(host => host.hostId === hostId);
    }

    private async writeRecord(order: DrainOrder): Promise<OperatorAnswer | undefined> {
        const { records, logger } = this.options;
        for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
            const record = this.record(order.hostId);
            if ((record?.value !== undefined) === order.draining) return undefined;
            const entry = createEntry(order, record?.version ?? 0);
            const extraPuts = [auditPut(entry)];
            const written = await records.write<DrainRecord>({
                key: KEYS.drain(order.hostId),
                expectedVersion: record?.version ?? 0,
                value: order.draining
                    ? { hostId: order.hostId, requestedBy: order.team, requestedAtMs: entry.atMs }
                    : undefined,
                editId: order.editId,
                extraPuts,
            });
            if (written.isOk()) {
                logger.info({ step: "drain", peer: order.hostId, who: order.team, draining: order.draining }, "drain");
                void this.audit.written("drains", entry.section, entry.versionAfter, extraPuts);
                return undefined;
            }
            if (written.error instanceof ConflictError) continue;
            const unknown = written.error instanceof OutcomeUnknownError;
            return unavailable(written.error, { outcome: unknown ? "unknown" : "not_accepted" });
        }
        return refuse(409, "conflict", `The drain of ${order.hostId} is being changed by others; try again.`, {
            outcome: "not_accepted",
        });
    }

    /** The record alone is enough in the end; the call makes the drain take effect at once. */
    private async tellAgent(order: DrainOrder): Promise<OperatorAnswer> {
        const { hostId, draining } = order;
        const host = this.findHost(hostId);
        const body = { outcome: "accepted", hostId, draining };
        if (host?.role !== "backend" || host.state === "gone") return { status: 200, body: { ...body, agent: "none" } };
        try {
            const signal = AbortSignal.timeout(this.options.peerTimeoutMs);
            const answer = await this.options.peers.drain(host, { hostId, draining }, signal);
            const inProgressCount = answer.inProgressCount;
            return { status: 200, body: { ...body, agent: "informed", inProgressCount } };
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            this.options.logger.warn({ step: "drain.call", peer: hostId, reason }, "the agent did not answer");
            return { status: 202, body: { ...body, agent: "not_reached", reason } };
        }
    }
}

function createEntry(order: DrainOrder, versionBefore: number): AuditEntry {
    const [before, after] = order.draining ? ["false", "true"] : ["true", "false"];
    return {
        atMs: Date.now(),
        who: order.team,
        section: auditSection("drains", order.hostId),
        versionBefore,
        versionAfter: versionBefore + 1,
        editId: order.editId,
        changes: [`draining: ${before} -> ${after}`],
    };
}

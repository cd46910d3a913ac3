import { createGrantChange, KEYS, toAuditedName } from "@skylarkmill/config";
import { createDutyLease, silentLogger, sleep } from "@skylarkmill/coordination";
import { ConflictError } from "@skylarkmill/protocol";
import { Registry } from "prom-client";
import { type AuditLog, getAuditLog } from "../runtime/audit-log.ts";
import { PlacementMetrics } from "../runtime/control-metrics.ts";
import { type GrantPlan, planGrants } from "../runtime/grant-planner.ts";
import type {
    PlacementDuty,
    PlacementDutyOptions,
    PlacementRound,
    ResolvedPlacementDutyOptions,
} from "../types/placement.ts";

const DEFAULTS = {
    demandPerSecond: () => 0,
    activeTogether: () => [],
    isCandidate: () => true,
    intervalMs: 1_000,
    /**
     * At the default interval, this is about a fifth of the several hundred writes per second that the key-value service
     * can sustain, so that a round does not delay other requests.
     */
    maxWritesPerRound: 50,
    leaseTtlMs: 10_000,
    logger: silentLogger,
};

/** Time between two checks for audit entries that the key-value service has lost. */
const AUDIT_CHECK_INTERVAL_MS = 15_000;

const IDLE_ROUND: PlacementRound = { writtenCount: 0, conflictCount: 0, failedCount: 0, deferredCount: 0 };

type WriteOutcome = "written" | "conflict" | "failed";

/**
 * Creates the placement duty: a background task that adjusts the grants of all models to the configuration. Only the
 * process that holds the duty's lease runs its rounds.
 *
 * The lease only avoids duplicate work. Two processes that both act as the holder can't break the rules: each write is a
 * compare-and-swap against the record from which it was planned, and that record includes the decided number of
 * replicas.
 *
 * @example
 * const duty = createPlacementDuty({ processId, records, store, config, membership, policy, serverStatuses });
 * duty.start();
 */
export function createPlacementDuty(options: PlacementDutyOptions): PlacementDuty {
    const resolved = { ...DEFAULTS, registry: new Registry(), ...options };
    const lease = options.lease ?? createDutyLease({
        store: resolved.store,
        key: KEYS.duty("placement"),
        processId: resolved.processId,
        ttlMs: resolved.leaseTtlMs,
        isCandidate: resolved.isCandidate,
        logger: resolved.logger,
    });
    return new LeasedPlacementDuty({ ...resolved, lease });
}

/** Runs placement rounds at an interval while the lease is held, and restores lost audit entries. */
class LeasedPlacementDuty implements PlacementDuty {
    private readonly abort = new AbortController();
    private readonly audit: AuditLog;
    private readonly metrics: PlacementMetrics;
    private task: Promise<void> | undefined;
    private nextAuditCheckAtMs = 0;

    constructor(private readonly options: ResolvedPlacementDutyOptions) {
        const { registry, records, config } = options;
        this.audit = getAuditLog(options.store);
        this.metrics = new PlacementMetrics({ registry, records, config, isDutyHeld: () => this.isHeld });
    }

    get isHeld(): boolean {
        return this.options.lease.isHeld;
    }

    start(): void {
        this.options.lease.start();
        this.task = this.runUntilStopped();
    }

    async stop(): Promise<void> {
        this.abort.abort();
        await this.task;
        await this.options.lease.stop();
    }

    async runRound(): Promise<PlacementRound> {
        if (planGrants(this.options).length === 0) return IDLE_ROUND;
        // Refreshing the records and planning again reduces conflicts with newer versions of the records.
        const refreshed = await this.options.records.refresh();
        if (refreshed.isErr()) {
            const { step, peer, message } = refreshed.error;
            this.options.logger.warn({ step, peer }, `placement round skipped, records not refreshed: ${message}`);
            return IDLE_ROUND;
        }
        // Removals and revocations are written first, since they free the replicas that additions need.
        const plans = planGrants(this.options).sort((a, b) => Number(a.hasAdditions) - Number(b.hasAdditions));
        const round = await this.writePlans(plans);
        this.metrics.countRound(round);
        return round;
    }

    private async runUntilStopped(): Promise<void> {
        const { signal } = this.abort;
        while (!signal.aborted) {
            await this.runRoundAndAuditCheck();
            await sleep(this.options.intervalMs, signal);
        }
    }

    /** Runs one iteration of the loop; logs errors instead of throwing them. */
    private async runRoundAndAuditCheck(): Promise<void> {
        try {
            if (this.isHeld) await this.runRound();
            await this.restoreLostAuditEntries();
        }
        catch (error) {
            this.options.logger.error({ step: "placement.round", peer: "local", err: error }, "placement round failed");
        }
    }

    /**
     * Restores lost audit entries that this process wrote. Runs with or without the lease, since no other process retains
     * these entries.
     */
    private async restoreLostAuditEntries(): Promise<void> {
        if (performance.now() < this.nextAuditCheckAtMs) return;
        this.nextAuditCheckAtMs = performance.now() + AUDIT_CHECK_INTERVAL_MS;
        const restoredCount = await this.audit.restoreLostEntries();
        this.metrics.countRestoredEntries(restoredCount);
        if (restoredCount > 0) {
            this.options.logger.warn({ step: "audit.restore", restoredCount }, "restored lost audit entries");
        }
    }

    private async writePlans(plans: readonly GrantPlan[]): Promise<PlacementRound> {
        const { maxWritesPerRound } = this.options;
        const counts = { written: 0, conflict: 0, failed: 0 };
        const batch = plans.slice(0, maxWritesPerRound);
        for (const plan of batch) {
            if (this.abort.signal.aborted) break;
            counts[await this.writePlan(plan)] += 1;
            // After a failed write the following ones would probably fail, too; they are left to the next round.
            if (counts.failed > 0) break;
        }
        return {
            writtenCount: counts.written,
            conflictCount: counts.conflict,
            failedCount: counts.failed,
            deferredCount: plans.length - counts.written - counts.conflict - counts.failed,
        };
    }

    private async writePlan(plan: GrantPlan): Promise<WriteOutcome> {
        const { records, processId, logger } = this.options;
        const change = createGrantChange(plan.record, plan.modelId, plan.value, processId, plan.reasons);
        const written = await records.write(change);
        if (written.isOk()) {
            const { version } = written.value;
            logger.info(
                { step: "placement.write", model: plan.modelId, version, reasons: plan.reasons },
                "grant record changed",
            );
            void this.audit.retainAndPrune("grants", toAuditedName("grants", plan.modelId), version, change.extraPuts);
            return "written";
        }
        const { step, peer, message } = written.error;
        logger.warn({ step, peer, model: plan.modelId }, `write of the grant record not confirmed: ${message}`);
        return written.error instanceof ConflictError ? "conflict" : "failed";
    }
}

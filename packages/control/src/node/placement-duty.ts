import { auditSection, createGrantChange, KEYS } from "@skylarkmill/config";
import { createDutyLease, silentLogger, sleep } from "@skylarkmill/coordination";
import { ConflictError } from "@skylarkmill/protocol";
import { Registry } from "prom-client";
import { type AuditLog, auditLogOf } from "../runtime/audit-log.ts";
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
    /** A fifth of the several hundred writes per second that the key-value service sustains. */
    maxWritesPerRound: 50,
    leaseTtlMs: 10_000,
    logger: silentLogger,
};

const AUDIT_CHECK_INTERVAL_MS = 15_000;

const IDLE_ROUND: PlacementRound = { writtenCount: 0, conflictCount: 0, failedCount: 0, deferredCount: 0 };

type WriteOutcome = "written" | "conflict" | "failed";

/**
 * Creates the duty that keeps the grants of all models as configured.
 *
 * Only the holder of the lease plans, to save work. Two holders at once do no harm: each write is a
 * compare-and-swap against the record that its plan was made from, the decided number included.
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

class LeasedPlacementDuty implements PlacementDuty {
    private readonly abort = new AbortController();
    private readonly audit: AuditLog;
    private readonly metrics: PlacementMetrics;
    private task: Promise<void> | undefined;
    private nextAuditCheckAtMs = 0;

    constructor(private readonly options: ResolvedPlacementDutyOptions) {
        const { registry, records, config } = options;
        this.audit = auditLogOf(options.store);
        this.metrics = new PlacementMetrics({ registry, records, config, held: () => this.held });
    }

    get held(): boolean {
        return this.options.lease.held;
    }

    start(): void {
        this.options.lease.start();
        this.task = this.run();
    }

    async stop(): Promise<void> {
        this.abort.abort();
        await this.task;
        await this.options.lease.stop();
    }

    async runRound(): Promise<PlacementRound> {
        if (planGrants(this.options).length === 0) return IDLE_ROUND;
        // The plan is made again from what the service holds now, so that few writes meet a newer record.
        const refreshed = await this.options.records.refresh();
        if (refreshed.isErr()) {
            const { step, peer, message } = refreshed.error;
            this.options.logger.warn({ step, peer }, `placement waits for the key-value service: ${message}`);
            return IDLE_ROUND;
        }
        // Removals and revocations first: they free what the additions wait for.
        const plans = planGrants(this.options).sort((a, b) => Number(a.adds) - Number(b.adds));
        const round = await this.writeAll(plans);
        this.metrics.countRound(round);
        return round;
    }

    private async run(): Promise<void> {
        const { signal } = this.abort;
        while (!signal.aborted) {
            await this.runGuarded();
            await sleep(this.options.intervalMs, signal);
        }
    }

    private async runGuarded(): Promise<void> {
        try {
            if (this.held) await this.runRound();
            await this.restoreAudit();
        }
        catch (error) {
            this.options.logger.error({ step: "placement.round", peer: "local", err: error }, "placement round failed");
        }
    }

    /** In every process, whether it holds the duty or not: each restores what it wrote. */
    private async restoreAudit(): Promise<void> {
        if (performance.now() < this.nextAuditCheckAtMs) return;
        this.nextAuditCheckAtMs = performance.now() + AUDIT_CHECK_INTERVAL_MS;
        const restoredCount = await this.audit.restoreLost();
        this.metrics.countRestored(restoredCount);
        if (restoredCount > 0) {
            this.options.logger.warn({ step: "audit.restore", restoredCount }, "wrote lost audit entries back");
        }
    }

    private async writeAll(plans: readonly GrantPlan[]): Promise<PlacementRound> {
        const { maxWritesPerRound } = this.options;
        const counts = { written: 0, conflict: 0, failed: 0 };
        const batch = plans.slice(0, maxWritesPerRound);
        for (const plan of batch) {
            if (this.abort.signal.aborted) break;
            counts[await this.write(plan)] += 1;
            // After a failure the next writes would most likely fail too.
            if (counts.failed > 0) break;
        }
        return {
            writtenCount: counts.written,
            conflictCount: counts.conflict,
            failedCount: counts.failed,
            deferredCount: plans.length - counts.written - counts.conflict - counts.failed,
        };
    }

    private async write(plan: GrantPlan): Promise<WriteOutcome> {
        const { records, processId, logger } = this.options;
        const change = createGrantChange(plan.record, plan.modelId, plan.value, processId, plan.reasons);
        const written = await records.write(change);
        if (written.isOk()) {
            const { version } = written.value;
            logger.info(
                { step: "placement.write", model: plan.modelId, version, reasons: plan.reasons },
                "grants changed",
            );
            void this.audit.written("grants", auditSection("grants", plan.modelId), version, change.extraPuts);
            return "written";
        }
        const { step, peer, message } = written.error;
        logger.warn({ step, peer, model: plan.modelId }, `grants not changed: ${message}`);
        return written.error instanceof ConflictError ? "conflict" : "failed";
    }
}

import { type ConfigView, type GrantRecord, KEYS } from "@skylarkmill/config";
import type { RecordReader } from "@skylarkmill/coordination";
import { Counter, Gauge, type Registry } from "prom-client";
import type { PlacementRound } from "../types/placement.ts";

/** Registers a gauge whose value is read at each scrape. */
function registerGauge(registry: Registry, name: string, help: string, read: () => number): void {
    new Gauge({
        name,
        help,
        registers: [registry],
        collect() {
            this.set(read());
        },
    });
}

/** Creates the counter of edits by outcome. */
export function createEditCounter(registry: Registry): Counter<"outcome"> {
    return new Counter({
        name: "skylarkmill_control_edits_total",
        help: "Edits of the configuration, by outcome.",
        labelNames: ["outcome"],
        registers: [registry],
    });
}

/** Sources of the values that the placement metrics report. */
export interface PlacementMetricsSources {
    readonly registry: Registry;
    readonly records: RecordReader;
    readonly config: ConfigView;
    readonly isDutyHeld: () => boolean;
}

/** Counts the models that have fewer grants than `maxReplicas`, not counting grants that are being revoked. */
function countModelsWithMissingGrants({ config, records }: PlacementMetricsSources): number {
    return [...config.models().values()].filter(({ modelId, config: { maxReplicas } }) => {
        const grants = records.get<GrantRecord>(KEYS.grants(modelId))?.value?.grants ?? [];
        return grants.filter(grant => !grant.revoking).length < maxReplicas;
    }).length;
}

/** Records the metrics of the placement duty. */
export class PlacementMetrics {
    private readonly grantWriteCounter: Counter<"result">;
    private readonly restoredEntryCounter: Counter;
    private deferredCount = 0;

    constructor(sources: PlacementMetricsSources) {
        const { registry, config } = sources;
        this.grantWriteCounter = new Counter({
            name: "skylarkmill_control_grant_writes_total",
            help: "Writes of grant records by the placement, by result.",
            labelNames: ["result"],
            registers: [registry],
        });
        this.restoredEntryCounter = new Counter({
            name: "skylarkmill_control_audit_restored_total",
            help: "Audit entries written back after the key-value service lost them.",
            registers: [registry],
        });
        const name = (suffix: string) => `skylarkmill_control_${suffix}`;
        registerGauge(
            registry,
            name("placement_held"),
            "Whether this router holds the placement duty.",
            () => Number(sources.isDutyHeld()),
        );
        registerGauge(
            registry,
            name("grants_deferred"),
            "Grant changes left for the next round.",
            () => this.deferredCount,
        );
        registerGauge(
            registry,
            name("models_short"),
            "Models with fewer usable grants than decided.",
            () => countModelsWithMissingGrants(sources),
        );
        registerGauge(
            registry,
            name("config_problems"),
            "Sections that contradict others or can't be applied.",
            () => config.problems().length,
        );
    }

    countRound(round: PlacementRound): void {
        this.grantWriteCounter.inc({ result: "written" }, round.writtenCount);
        this.grantWriteCounter.inc({ result: "conflict" }, round.conflictCount);
        this.grantWriteCounter.inc({ result: "failed" }, round.failedCount);
        this.deferredCount = round.deferredCount;
    }

    countRestoredEntries(count: number): void {
        this.restoredEntryCounter.inc(count);
    }
}

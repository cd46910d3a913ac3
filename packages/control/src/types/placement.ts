import type { Membership } from "@skylarkmill/adapters";
import type { ConfigView } from "@skylarkmill/config";
import type { DutyLease, KeyValueStore, Logger, RecordStore } from "@skylarkmill/coordination";
import type { PlacementPolicy } from "@skylarkmill/policy";
import type { ModelId, ProcessId, ServerId, ServerStatus } from "@skylarkmill/protocol";
import type { Registry } from "prom-client";

/** Dependencies and settings of the placement duty. */
export interface PlacementDutyOptions {
    readonly processId: ProcessId;
    readonly records: RecordStore;
    readonly store: KeyValueStore;
    readonly config: ConfigView;
    readonly membership: Membership;
    readonly policy: PlacementPolicy;
    /** Newest status of each backend server that reported recently; other servers get no new grants. */
    readonly serverStatuses: () => ReadonlyMap<ServerId, ServerStatus>;
    /** Recent demand for a model, in requests per second. @default () => 0 */
    readonly demandPerSecond?: (modelId: ModelId) => number;
    /** Models that recently became active at about the same time as a model. @default () => [] */
    readonly activeTogether?: (modelId: ModelId) => readonly ModelId[];
    /** Whether this process may take the duty's lease. @default () => true */
    readonly isCandidate?: () => boolean;
    /** Pause between two rounds, in milliseconds. @default 1000 */
    readonly intervalMs?: number;
    /** Maximum number of grant records written in one round. @default 50 */
    readonly maxWritesPerRound?: number;
    /** Time to live of the duty's lease, in milliseconds. @default 10000 */
    readonly leaseTtlMs?: number;
    /** Lease that the duty's holder keeps. @default a lease on `duties/placement` in the key-value service */
    readonly lease?: DutyLease;
    /** Registry for the metrics. @default a new registry */
    readonly registry?: Registry;
    /** @default a logger that discards all messages */
    readonly logger?: Logger;
}

export type ResolvedPlacementDutyOptions = Required<PlacementDutyOptions>;

/** Counts of the grant records in one round, by result. */
export interface PlacementRound {
    /** Records that were written. */
    readonly writtenCount: number;
    /** Records that were not written because another process had changed them in the meantime. */
    readonly conflictCount: number;
    /** Records whose write failed or whose outcome is unknown. */
    readonly failedCount: number;
    /** Planned changes that were not attempted and are left to the next round. */
    readonly deferredCount: number;
}

/** Adjusts the grants of all models to the configuration while this process holds the duty's lease. */
export interface PlacementDuty {
    /** Whether this process holds the duty's lease. */
    readonly isHeld: boolean;
    /** Starts competing for the lease and running rounds. */
    start(): void;
    /** Stops the rounds, after the write in progress, and then the lease. */
    stop(): Promise<void>;
    /** Runs one round, regardless of whether this process holds the lease. */
    runRound(): Promise<PlacementRound>;
}

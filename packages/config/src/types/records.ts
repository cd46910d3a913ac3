import type { GrantId, HostId, ModelId, ServerId, TeamId } from "@skylarkmill/protocol";

/** Right of a backend server to load one replica of a model. */
export interface Grant {
    readonly grantId: GrantId;
    readonly serverId: ServerId;
    readonly hostId: HostId;
    /** The holder must unload and then remove the grant. */
    readonly revoking: boolean;
}

/** Value of `grants/<model>`. The length of `grants` never exceeds the decided number of replicas when one is added. */
export interface GrantRecord {
    readonly modelId: ModelId;
    readonly grants: readonly Grant[];
    /** The decision in force when the placement last wrote the record; holders leave it unchanged. */
    readonly decided?: ReplicaDecision | undefined;
}

/**
 * How many replicas a model may have. Part of the grant record, so that a lowered number makes the
 * compare-and-swap of a placement fail that still builds on the higher one.
 */
export interface ReplicaDecision {
    readonly replicas: number;
    /** Section and version that say so; version 0 when no section offers the model. */
    readonly section: string;
    readonly sectionVersion: number;
}

/** Value of `drains/<host>`. */
export interface DrainRecord {
    readonly hostId: HostId;
    readonly requestedBy: TeamId;
    readonly requestedAtMs: number;
}

/** Value of `audit/<section>/<version>`. */
export interface AuditEntry {
    readonly atMs: number;
    readonly who: string;
    readonly section: string;
    readonly versionBefore: number;
    readonly versionAfter: number;
    readonly editId: string;
    /** One line per changed path: `path: before -> after`. */
    readonly changes: readonly string[];
}

export const RECORD_PREFIX = "/skylarkmill/";

/** Keys in the key-value service. */
export const KEYS = {
    config: (section: string) => `${RECORD_PREFIX}config/${section}`,
    configPrefix: `${RECORD_PREFIX}config/`,
    audit: (section: string, version: number) =>
        `${RECORD_PREFIX}audit/${section}/${String(version).padStart(10, "0")}`,
    auditPrefix: `${RECORD_PREFIX}audit/`,
    grants: (modelId: string) => `${RECORD_PREFIX}grants/${modelId}`,
    grantsPrefix: `${RECORD_PREFIX}grants/`,
    drain: (hostId: string) => `${RECORD_PREFIX}drains/${hostId}`,
    drainsPrefix: `${RECORD_PREFIX}drains/`,
    duty: (duty: string) => `${RECORD_PREFIX}duties/${duty}`,
    fence: (serverId: string) => `${RECORD_PREFIX}fences/${serverId}`,
    claim: (serviceId: string, keyHash: string) => `${RECORD_PREFIX}claims/${serviceId}/${keyHash}`,
} as const;

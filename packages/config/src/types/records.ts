import type { GrantId, HostId, ModelId, ServerId, TeamId } from "@skylarkmill/protocol";

/** Permission for a backend server to load one replica of a model. */
export interface Grant {
    readonly grantId: GrantId;
    readonly serverId: ServerId;
    readonly hostId: HostId;
    /** When true, the backend server's agent must unload the model and then remove the grant. */
    readonly revoking: boolean;
}

/** Value of `grants/<model>`. A grant is added only while there are fewer grants than decided replicas. */
export interface GrantRecord {
    readonly modelId: ModelId;
    readonly grants: readonly Grant[];
    /** The decision in force when the placement duty last wrote the record; agents that remove grants keep it. */
    readonly decided?: ReplicaDecision | undefined;
}

/**
 * The number of replicas that a model may have. It is stored in the grant record so that, once the number has been
 * lowered, the compare-and-swap of a placement that was planned with the higher number fails.
 */
export interface ReplicaDecision {
    readonly replicas: number;
    /** Section that sets the number; empty when no section offers the model. */
    readonly section: string;
    /** Version of that section; 0 when no section offers the model. */
    readonly sectionVersion: number;
}

/** Value of `drains/<host>`: an operator has requested that the host be drained. */
export interface DrainRecord {
    readonly hostId: HostId;
    readonly requestedBy: TeamId;
    readonly requestedAtMs: number;
}

/** Value of `audit/<section>/<version>`: one change of an audited record. */
export interface AuditEntry {
    /** Time of the change, in milliseconds since 1970. */
    readonly atMs: number;
    /** The team or process that made the change. */
    readonly who: string;
    /** A section's name, `grants:<model>` or `drains:<host>`. */
    readonly section: string;
    readonly versionBefore: number;
    readonly versionAfter: number;
    readonly editId: string;
    /** One line per changed path: `path: before -> after`. */
    readonly changes: readonly string[];
}

/** Prefix of all keys of this system in the key-value service. */
export const RECORD_PREFIX = "/skylarkmill/";

/** Builds the keys of records in the key-value service. */
export const KEYS = {
    config: (section: string) => `${RECORD_PREFIX}config/${section}`,
    configPrefix: `${RECORD_PREFIX}config/`,
    audit: (auditedName: string, version: number) =>
        `${RECORD_PREFIX}audit/${auditedName}/${String(version).padStart(10, "0")}`,
    auditPrefix: `${RECORD_PREFIX}audit/`,
    grants: (modelId: string) => `${RECORD_PREFIX}grants/${modelId}`,
    grantsPrefix: `${RECORD_PREFIX}grants/`,
    drain: (hostId: string) => `${RECORD_PREFIX}drains/${hostId}`,
    drainsPrefix: `${RECORD_PREFIX}drains/`,
    /** Key of the lease on a duty that one process performs at a time; its value is the id of that process. */
    duty: (duty: string) => `${RECORD_PREFIX}duties/${duty}`,
    /** Key of the number of the agent's latest start, from which it derives the fencing tokens of its orders. */
    fence: (serverId: string) => `${RECORD_PREFIX}fences/${serverId}`,
    /** Key of the claim on an idempotency key of a service's requests; `keyHash` is the hash of that key. */
    claim: (serviceId: string, keyHash: string) => `${RECORD_PREFIX}claims/${serviceId}/${keyHash}`,
} as const;

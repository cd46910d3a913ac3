import type { HostEntry } from "@skylarkmill/adapters";
import type { ServerId, ServerStatus, ServiceId } from "@skylarkmill/protocol";

/** The fields of an agent's `ServerStatus` message that a router uses. */
export interface ServerReport {
    readonly queuedCount: number;
    readonly runningCount: number;
    readonly slotCount: number;
    readonly backlogMs: number;
    /** Moving average, measured by the agent, of the time to the first byte divided by the expected time; 1 is normal. */
    readonly slowness: number;
    readonly isDraining: boolean;
    /** Models by id; `undefined` if the report did not list models. */
    readonly models: ReadonlyMap<string, ModelReport> | undefined;
}

export interface ModelReport {
    /** Time of the report or response that showed this state. */
    readonly seenAtMs: number;
    readonly state: string;
    readonly adapterIds: readonly string[];
}

/** An attempt that waits for the head of its response. */
export interface WaitingAttempt {
    /** The request may be sent to another server even if this one may have run it. */
    readonly isIdempotent: boolean;
    readonly sentAtMs: number;
    /** Cancels the attempt and reports it as failed. */
    abandon(error: Error): void;
}

/** The state that this router keeps of one backend server. */
export interface ServerState {
    readonly serverId: ServerId;
    readonly serviceId: ServiceId;
    host: HostEntry;
    report: ServerReport | undefined;
    /** Models by id, from the last report that listed them and from responses of models. */
    models: Map<string, ModelReport>;
    reportedAtMs: number;
    /** Attempts that have not received the head of a response. */
    readonly waitingAttempts: Set<WaitingAttempt>;
    /** Latest full status, used by the placement duty. */
    status: ServerStatus | undefined;
    statusAtMs: number;
    /** Time at which this router last sent an attempt to the server. */
    lastUsedAtMs: number;
    /** Number of consecutive probes without a response. */
    missedProbeCount: number;
    /** Number of this router's attempts in progress at the server. */
    outstandingCount: number;
    /** The agent reported in a refusal or in its status that it is draining. */
    isAgentDraining: boolean;
    /** An operator's drain record exists for the server's host. */
    isOperatorDraining: boolean;
    /** End of the backoff after a failure to reach the agent; 0 while the agent is reachable. */
    unreachableUntilMs: number;
    /** Slowness computed by this router's straggler detector, and the time at which it was computed. */
    cachedSlowness: number;
    cachedSlownessAtMs: number;
    /** Number of consecutive failures to reach the agent. */
    consecutiveFailureCount: number;
}

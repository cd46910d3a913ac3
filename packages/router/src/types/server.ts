import type { HostEntry } from "@skylarkmill/platform";
import type { ServerId, ServiceId } from "@skylarkmill/protocol";

/** The part of an agent's ServerStatus that a router uses; JSON form of the message. */
export interface ServerReport {
    readonly queuedCount: number;
    readonly runningCount: number;
    readonly slotCount: number;
    readonly backlogMs: number;
    readonly slowness: number;
    readonly draining: boolean;
    readonly models: ReadonlyMap<string, ModelReport>;
}

export interface ModelReport {
    readonly state: string;
    readonly adapterIds: readonly string[];
}

/** One backend server as this router knows it. */
export interface ServerState {
    readonly serverId: ServerId;
    readonly serviceId: ServiceId;
    host: HostEntry;
    report: ServerReport | undefined;
    reportedAtMs: number;
    /** Attempts of this router in progress there. */
    outstandingCount: number;
    /** The agent said that it drains, in a refusal or in its status. */
    agentDraining: boolean;
    /** An operator's drain record names its host. */
    operatorDraining: boolean;
    /** Time until which the agent counts as out of reach; 0 while it is in reach. */
    unreachableUntilMs: number;
    /** Last verdict of the straggler detector, and its time. */
    slowness: number;
    slownessAtMs: number;
    /** Failures to reach the agent in a row. */
    failureCount: number;
}

import type { HostEntry, Membership } from "@skylarkmill/adapters";
import type { ConfigView } from "@skylarkmill/config";
import type { KeyValueStore, Logger, RecordStore } from "@skylarkmill/coordination";
import type { DrainRequest, DrainResponse, ProcessStatus, TeamId } from "@skylarkmill/protocol";
import type { Registry } from "prom-client";

/** Calls from the operators' interface to the peer interface of other processes. */
export interface OperatorPeers {
    getStatus(host: HostEntry, signal: AbortSignal): Promise<ProcessStatus>;
    drain(host: HostEntry, request: Pick<DrainRequest, "hostId" | "draining">, signal: AbortSignal): Promise<
        Pick<DrainResponse, "draining" | "inProgressCount">
    >;
}

/** Dependencies and settings of the operators' HTTP interface. */
export interface OperatorOptions {
    readonly records: RecordStore;
    /** Key-value service that stores the audit entries. */
    readonly store: KeyValueStore;
    readonly config: ConfigView;
    readonly membership: Membership;
    readonly peers: OperatorPeers;
    /** Returns the team that each bearer token authenticates; a team may have several tokens. */
    readonly teamTokens: () => ReadonlyMap<string, TeamId>;
    /** Time limit of each call to another process, in milliseconds. @default 1000 */
    readonly peerTimeoutMs?: number;
    /** Maximum number of concurrent calls to other processes. @default 32 */
    readonly maxConcurrentCalls?: number;
    /** Registry for the metrics. @default a new registry */
    readonly registry?: Registry;
    /** @default a logger that discards all messages */
    readonly logger?: Logger;
}

export type ResolvedOperatorOptions = Required<OperatorOptions>;

/** Whether an edit took effect, as far as it is known. */
export type EditOutcomeName = "accepted" | "not_accepted" | "unknown";

/** JSON body of an error response of the operators' interface. */
export interface OperatorErrorBody {
    readonly error: {
        readonly code: string;
        readonly message: string;
        readonly faults?: readonly { readonly path: string; readonly message: string; }[];
    };
    readonly outcome?: EditOutcomeName;
    readonly [detail: string]: unknown;
}

/** Response of the operators' interface before its body is serialized as JSON. */
export interface OperatorResponse {
    readonly status: 200 | 201 | 202 | 400 | 401 | 403 | 404 | 409 | 413 | 428 | 500 | 503;
    readonly body: object;
    readonly headers?: Readonly<Record<string, string>>;
}

/** A change of a section that was made after the version on which an edit is based. */
export interface SectionChange {
    /** Version that the change created. */
    readonly version: number;
    readonly who: string;
    /** Time of the change, in milliseconds since 1970. */
    readonly atMs: number;
    readonly changes: readonly string[];
}

/** Host list entry of a process, with its status if it responded. */
export interface ProcessReport {
    readonly hostId: string;
    readonly dataCentre: string;
    readonly role: string;
    readonly state: string;
    readonly reachable: boolean;
    /** Why the status could not be read. */
    readonly reason?: string;
    readonly status?: ProcessStatus;
}

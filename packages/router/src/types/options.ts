import type { Membership } from "@skylarkmill/adapters";
import type { ListenAddress } from "@skylarkmill/coordination";
import type { KeyValueStore } from "@skylarkmill/coordination";
import type { DataCentre, HostId, ProcessId, SkylarkmillError, TeamId } from "@skylarkmill/protocol";
import type Logger from "bunyan";
import type { ResultAsync } from "neverthrow";
import type { RouterPolicies } from "./policies.ts";

export interface RouterOptions {
    readonly processId: ProcessId;
    readonly hostId: HostId;
    readonly dataCentre: DataCentre;
    /** Address of the callers' interface. */
    readonly listen: ListenAddress;
    /** Address of the operators' interface. */
    readonly operatorListen: ListenAddress;
    /** Address of the peer interface (connect-es). */
    readonly peerListen: ListenAddress;
    /** The first key is sent to peers; any of them is accepted from peers. */
    readonly peerKeys: () => readonly string[];
    /** Maps each operator token to the team that it authenticates. */
    readonly teamTokens: () => ReadonlyMap<string, TeamId>;
    readonly store: KeyValueStore;
    readonly membership: Membership;
    readonly logger: Logger;
    /** @default the defaults of `RouterLimits` */
    readonly limits?: Partial<RouterLimits>;
    /** Policies that replace the production ones. @default {} */
    readonly policies?: Partial<RouterPolicies>;
}

export interface RouterLimits {
    /** Longest accepted request body. @default 4194304 */
    readonly maxBodyBytes: number;
    /** Total size of the request bodies held in memory. @default 67108864 */
    readonly maxBufferedBodyBytes: number;
    /** Longest accepted block of request headers. @default 16384 */
    readonly maxHeaderBytes: number;
    /** Time from the first byte of a request, or a new connection's opening, to the end of the headers. @default 10000 */
    readonly headerTimeoutMs: number;
    /** Maximum number of requests in progress, over all services. @default 4096 */
    readonly maxRequests: number;
    /** Time limit for establishing a TCP connection to an agent. @default 1000 */
    readonly connectTimeoutMs: number;
    /** Time limit for writing the claim of a request with an idempotency key. @default 1000 */
    readonly claimTimeoutMs: number;
    /** Longest time a request waits for a backend server when none is available. @default 5000 */
    readonly serverWaitMs: number;
    /**
     * Non-streamed responses of model engines up to this size are buffered until they are complete, so that the
     * request can still be retried. @default 1048576
     */
    readonly maxBufferedResponseBytes: number;
    /** Number of backend servers that this router uses per plain service. @default 16 */
    readonly maxServersPerService: number;
    /** Bandwidth budget for probes of backend servers. @default 700 */
    readonly probeBytesPerSecond: number;
}

export interface ResolvedRouterOptions extends Omit<RouterOptions, "limits" | "policies"> {
    readonly limits: RouterLimits;
    readonly policies: Partial<RouterPolicies>;
}

export interface RouterPorts {
    readonly port: number;
    readonly operatorPort: number;
    readonly peerPort: number;
}

export interface Router {
    /**
     * Starts the background tasks and binds the ports, each as soon as it is free. Fails with `UnavailableError` if a
     * port can never be bound or the router stops first.
     */
    start(): ResultAsync<RouterPorts, SkylarkmillError>;
    /** Refuses new connections, serves the remaining requests on open connections, then closes. */
    stop(): Promise<void>;
}

export const DEFAULT_ROUTER_LIMITS: RouterLimits = {
    maxBodyBytes: 4 * 1024 * 1024,
    maxBufferedBodyBytes: 64 * 1024 * 1024,
    maxHeaderBytes: 16 * 1024,
    headerTimeoutMs: 10_000,
    maxRequests: 4096,
    connectTimeoutMs: 1000,
    claimTimeoutMs: 1000,
    serverWaitMs: 5000,
    maxBufferedResponseBytes: 1024 * 1024,
    maxServersPerService: 16,
    probeBytesPerSecond: 700,
};

/**
 * Fills in the defaults of the router's options.
 *
 * @example
 * const resolved = resolveRouterOptions({ ...options, limits: { maxRequests: 100 } });
 */
export function resolveRouterOptions(options: RouterOptions): ResolvedRouterOptions {
    return { ...options, limits: { ...DEFAULT_ROUTER_LIMITS, ...options.limits }, policies: options.policies ?? {} };
}

import type { KeyValueStore, Logger } from "@skylarkmill/coordination";
import type { EngineModelsPolicy } from "@skylarkmill/policy";
import type { DataCentre, Refusal } from "@skylarkmill/protocol";
import type { Result } from "neverthrow";
import type { RequestBody } from "../runtime/request-body.ts";
import type { ServerRankingName } from "../runtime/server-ranking.ts";
import type { Address, CallerRequest, EngineClient } from "./engine.ts";
import type { RecordDecoder } from "./snapshot.ts";

/** Head of a caller's HTTP request. */
export interface RequestHead {
    readonly method: string;
    readonly path: string;
    readonly host: string;
    /** Headers as received, as alternating names and values. */
    readonly rawHeaders: readonly string[];
}

/**
 * Converts a request with the platform's headers into a caller request.
 *
 * @param hasWorkspaces Whether callers present keys; headers that hold a key or name a workspace aren't forwarded then.
 */
export type RequestDecoder = (
    head: RequestHead,
    body: RequestBody | undefined,
    hasWorkspaces: boolean,
) => Result<CallerRequest, Refusal>;

/** Time limits and the retry budget of a gateway. */
export interface GatewayLimits {
    /** Minimum time between orders of two different hosts to one engine. */
    readonly minHandoverMs: number;
    /** Time within which a stopping process must exit. */
    readonly stopTimeoutMs: number;
    /** Time after which a draining server must receive no more requests. */
    readonly drainNoticeMs: number;
    /** Time after which a new configuration must be in force. */
    readonly configurationNoticeMs: number;
    /** Interval at which a server renews its entry; the entry expires after three intervals without a renewal. */
    readonly serverHeartbeatMs: number;
    /** Retries allowed per request in the window. */
    readonly retryBudgetRatio: number;
    /** Retries allowed in addition to the ratio, over all gateways together. */
    readonly retryBudgetSlack: number;
    readonly retryBudgetWindowMs: number;
    /** Time over which the quotas of workspaces count; undefined if they hold for any length of time. */
    readonly quotaWindowMs: number | undefined;
}

export interface GatewayOptions {
    /** Name of this host; unchanged by restarts. */
    readonly host: string;
    readonly dataCentre: DataCentre;
    readonly callerListen: Address;
    readonly readyListen: Address;
    readonly peerListen: Address;
    /** Addresses of peers from which keys can be read while the key-value service is unavailable. */
    readonly seedPeers: readonly string[];
    readonly limits: GatewayLimits;
    /** Whether engines refuse a lower fencing token after a higher one. */
    readonly enginesCheckFences: boolean;
    /** How servers are chosen by their load. */
    readonly serverRanking: ServerRankingName;
    readonly maxConnections: number;
    /** Memory beyond which the process is ended. */
    readonly memoryLimitBytes: number;
    /** Processor cores that this host may use, such as 0.5. */
    readonly processorCores: number;
    /** Number of concurrent loads up to which the weight store delivers at full speed. */
    readonly maxStoreLoadCount: number;
    readonly store: KeyValueStore;
    readonly engineClient: EngineClient;
    readonly recordDecoder: RecordDecoder;
    readonly decodeRequest: RequestDecoder;
    readonly enginePolicy: EngineModelsPolicy;
    readonly logger: Logger;
}

import type { Logger, LogLimiter } from "@skylarkmill/coordination";
import type { DataCentre, ServiceId } from "@skylarkmill/protocol";
import type { ByteBudget } from "../runtime/byte-budget.ts";
import type { CrashSuspects } from "../runtime/crash-suspects.ts";
import type { FairOrder } from "../runtime/fair-order.ts";
import type { GatewayMetrics } from "../runtime/gateway-metrics.ts";
import type { LocalDemandTracker } from "../runtime/local-demand-tracker.ts";
import type { RetryBudget } from "../runtime/retry-budget.ts";
import type { ServerDirectory } from "../runtime/server-directory.ts";
import type { ServerRanking } from "../runtime/server-ranking.ts";
import type { ServerRates } from "../runtime/server-rates.ts";
import type { WorkspaceDirectory } from "../runtime/workspace-directory.ts";
import type { WorkspaceQuotas } from "../runtime/workspace-quotas.ts";
import type { EngineClient } from "./engine.ts";

/** Components and settings that all requests of one gateway share. */
export interface GatewayContext {
    readonly dataCentre: DataCentre;
    readonly directory: ServerDirectory;
    readonly engineClient: EngineClient;
    /** Bytes of request bodies and incomplete responses that this process holds. */
    readonly byteBudget: ByteBudget;
    /** Parts of prompts that end engines. */
    readonly crashSuspects: CrashSuspects;
    /** Order of the requests that wait for places, fair to workspaces. */
    readonly fairOrder: FairOrder;
    /** Chooses among servers that can take a request. */
    readonly serverRanking: ServerRanking;
    /** Rates that servers state for all gateways together. */
    readonly serverRates: ServerRates;
    /** Quotas that workspaces have at all gateways together. */
    readonly quotas: Pick<WorkspaceQuotas, "decide" | "leave" | "giveBack">;
    /** Workspaces of the configuration in force. */
    readonly workspaces: WorkspaceDirectory;
    readonly localDemand: LocalDemandTracker;
    readonly metrics: GatewayMetrics;
    readonly logger: Logger;
    /** Limits the rate of log lines about requests. */
    readonly requestLogLimiter: LogLimiter;
    getRetryBudget(serviceId: ServiceId): RetryBudget;
    /** Number of known gateways, which share the retry budgets. */
    getGatewayCount(): number;
}

import type { ConfigView } from "@skylarkmill/config";
import type { BodyMemory, LogLimiter } from "@skylarkmill/coordination";
import type { AttemptId } from "@skylarkmill/protocol";
import type Logger from "bunyan";
import type { AgentPools } from "../runtime/agent-pools.ts";
import type { DemandTracker } from "../runtime/demand-tracker.ts";
import type { DurationTracker } from "../runtime/duration-tracker.ts";
import type { RequestTracker } from "../runtime/request-tracker.ts";
import type { RouterMetrics } from "../runtime/router-metrics.ts";
import type { ServerDirectory } from "../runtime/server-directory.ts";
import type { ServerViews } from "../runtime/server-views.ts";
import type { ResolvedRouterOptions } from "./options.ts";
import type { RouterPolicies } from "./policies.ts";

/** State and services shared by all request tasks of one router. */
export interface RouterContext {
    readonly options: ResolvedRouterOptions;
    readonly logger: Logger;
    readonly policies: RouterPolicies;
    readonly config: ConfigView;
    readonly directory: ServerDirectory;
    readonly serverViews: ServerViews;
    readonly agentPools: AgentPools;
    readonly metrics: RouterMetrics;
    readonly requestTracker: RequestTracker;
    readonly bodyMemory: BodyMemory;
    readonly demand: DemandTracker;
    readonly durationTracker: DurationTracker;
    readonly failureLogLimiter: LogLimiter;
    readonly createAttemptId: () => AttemptId;
}

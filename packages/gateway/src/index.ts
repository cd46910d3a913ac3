export { Gateway } from "./node/gateway.ts";
export { createPeerApp, type PeerAppOptions } from "./node/peer-app.ts";
export { PeerClient } from "./node/peer-client.ts";
export { ViewFollower, type ViewFollowerOptions } from "./node/view-follower.ts";
export { Attempt, type AttemptListener } from "./runtime/attempt.ts";
export { ByteBudget, MAX_ROOM_WAITERS, MAX_SMALL_BODY_BYTES } from "./runtime/byte-budget.ts";
export { ClusterDemandTracker } from "./runtime/cluster-demand-tracker.ts";
export { type CrashDecision, CrashSuspects, type CrashSuspectsOptions } from "./runtime/crash-suspects.ts";
export { EngineCommandRunner, type EngineCommandRunnerOptions } from "./runtime/engine-command-runner.ts";
export { EngineController, type EngineControllerOptions } from "./runtime/engine-controller.ts";
export { classifyUnnumberedEvent, EventSplitter, MAX_EVENT_BYTES, type StreamEvent } from "./runtime/event-splitter.ts";
export { FairOrder, type LineStatus, type OrderedRequest } from "./runtime/fair-order.ts";
export { type GatewayMember, GatewayMembership, type GatewayMembershipOptions } from "./runtime/gateway-membership.ts";
export { GatewayMetrics } from "./runtime/gateway-metrics.ts";
export { LocalDemandTracker } from "./runtime/local-demand-tracker.ts";
export {
    MAX_MEMBER_COUNT,
    MemberSelection,
    MIN_MEMBER_COUNT,
    MIN_READER_COUNT,
    selectReaders,
} from "./runtime/member-selection.ts";
export { MEMORY_SHARES } from "./runtime/memory-shares.ts";
export {
    decideMemoryLevel,
    type MemoryLevel,
    type MemoryUsage,
    MemoryWatch,
    type MemoryWatchOptions,
} from "./runtime/memory-watch.ts";
export { OrderRights, type OrderRightsOptions } from "./runtime/order-rights.ts";
export { PlaceLimit } from "./runtime/place-limit.ts";
export { PlacementPlanner, type PlacementPlannerOptions } from "./runtime/placement-planner.ts";
export { type ProcessMetricsOptions, registerProcessMetrics } from "./runtime/process-metrics.ts";
export { BODY_BLOCK_BYTES, BodyBlockPool, RequestBody } from "./runtime/request-body.ts";
export { RequestTask } from "./runtime/request-task.ts";
export { computeRequestTiming, type RequestTiming } from "./runtime/request-timing.ts";
export { RetryBudget } from "./runtime/retry-budget.ts";
export { ServerDirectory } from "./runtime/server-directory.ts";
export {
    createServerRanking,
    LeastLoadRanking,
    type RankingInput,
    type ServerRanking,
    type ServerRankingName,
    SpreadRanking,
} from "./runtime/server-ranking.ts";
export { ServerRates, type ServerRatesOptions } from "./runtime/server-rates.ts";
export { ServerState } from "./runtime/server-state.ts";
export { type HeadVerdict, judgeHead } from "./runtime/stages/head-verdict.ts";
export { type StoreLoad, StoreLoadLimit } from "./runtime/store-load-limit.ts";
export { type StoreChanges, StoreView, type StoreViewOptions } from "./runtime/store-view.ts";
export { type Identity, WorkspaceDirectory } from "./runtime/workspace-directory.ts";
export {
    type QuotaDecision,
    type QuotaStatus,
    WorkspaceQuotas,
    type WorkspaceQuotasOptions,
} from "./runtime/workspace-quotas.ts";
export type * from "./types/configuration.ts";
export type * from "./types/context.ts";
export type * from "./types/crash-evidence.ts";
export type * from "./types/engine.ts";
export type * from "./types/options.ts";
export type * from "./types/placement.ts";
export type * from "./types/response-writer.ts";
export type * from "./types/snapshot.ts";
export {
    checkConfiguration,
    checkSuccession,
    compareConfigurations,
    type ConfigurationChange,
    type ConfigurationFinding,
} from "./utils/configuration-check.ts";
export { digestKey } from "./utils/digest-key.ts";
export { parseJson } from "./utils/parse-json.ts";
export { pickService } from "./utils/pick-service.ts";
export { refusals as gatewayRefusals } from "./utils/refusals.ts";
export { RouteTable } from "./utils/route-table.ts";

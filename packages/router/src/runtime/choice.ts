import type { ConfigView } from "@skylarkmill/config";
import type { AdmissionDecision, ServerView } from "@skylarkmill/policy";
import type { ServerId } from "@skylarkmill/protocol";
import type { RouterContext } from "../types/context.ts";
import type { RequestSpec } from "../types/request.ts";

/** Age up to which a server's report is taken for its present state. */
const FRESH_REPORT_MS = 2000;

/** Chooses among the views, for a first attempt or a hedge: the preferred server while it has not been tried, else by the policy. */
export function chooseView(
    context: RouterContext,
    spec: RequestSpec,
    views: readonly ServerView[],
    tried: ReadonlySet<ServerId>,
    nowMs: number,
    hedge = false,
): ServerView | undefined {
    const preferred = spec.preferredServerId;
    if (preferred !== undefined && !tried.has(preferred)) {
        const view = views.find(candidate => candidate.serverId === preferred);
        if (view !== undefined) return view;
    }
    return context.policies.chooser.choose({
        requestId: spec.requestId,
        serviceId: spec.target.serviceId,
        modelId: spec.target.modelId,
        dataCentre: context.options.dataCentre,
        expectedMs: spec.expectedMs,
        remainingMs: spec.deadlineAtMs - nowMs,
        tried,
        hedge,
    }, views);
}

/** Decides whether the request can be taken on at the chosen server. */
export function admit(context: RouterContext, spec: RequestSpec, view: ServerView, nowMs: number): AdmissionDecision {
    const { policies, counts, config } = context;
    const { serviceId, service } = spec.target;
    return policies.admission.decide({
        serviceId,
        nowMs,
        deadlineAtMs: spec.deadlineAtMs,
        expectedMs: spec.learnedMs,
        waitMs: waitOf(view),
        // The request itself is already counted.
        serviceCount: counts.of(serviceId) - 1,
        totalCount: counts.total - 1,
        weight: service.weight,
        totalWeight: totalWeight(config),
    });
}

/**
 * Time before the server starts the request: its queue and, for a cold model, the load.
 * An old report says nothing of either; the agent then decides whether the request can finish in time.
 */
export function waitOf(view: ServerView): number {
    if (view.reportAgeMs > FRESH_REPORT_MS) return 0;
    return (view.backlogMs / view.slotCount) + (view.loaded ? 0 : view.expectedLoadMs);
}

function totalWeight(config: ConfigView): number {
    let total = 0;
    for (const service of config.services().values()) total += service.config.weight;
    return total;
}

import type { ConfigView } from "@skylarkmill/config";
import { type AdmissionDecision, expectedWaitMs, type ServerView } from "@skylarkmill/policy";
import type { ServerId } from "@skylarkmill/protocol";
import type { RouterContext } from "../types/context.ts";
import type { RequestSpec } from "../types/request.ts";

/** Age at which a report's weight has decayed to about a third, since reports lag behind the server's actual queue. */
const REPORT_DECAY_MS = 500;
/** Maximum age of a report that is relied on to show that a model is not loaded. */
const MAX_FRESH_REPORT_AGE_MS = 2000;

/** Chooses the server of an attempt: the preferred server if it has not been tried, otherwise by the policy. */
export function chooseServerView(
    context: RouterContext,
    spec: RequestSpec,
    views: readonly ServerView[],
    triedServerIds: ReadonlySet<ServerId>,
    nowMs: number,
    isHedge = false,
): ServerView | undefined {
    const preferred = spec.preferredServerId;
    if (preferred !== undefined && !triedServerIds.has(preferred)) {
        const view = views.find(candidate => candidate.serverId === preferred);
        if (view !== undefined) return view;
    }
    return context.policies.chooser.choose({
        requestId: spec.requestId,
        serviceId: spec.target.serviceId,
        modelId: spec.target.modelId,
        dataCentre: context.options.dataCentre,
        expectedMs: spec.expectedFirstByteMs,
        remainingMs: spec.deadlineAtMs - nowMs,
        triedServerIds,
        isHedge,
    }, views);
}

/** Decides whether the request is admitted at the chosen server. */
export function decideAdmission(
    context: RouterContext,
    spec: RequestSpec,
    view: ServerView,
    nowMs: number,
): AdmissionDecision {
    const { policies, requestTracker, config } = context;
    const { serviceId, service } = spec.target;
    return policies.admission.decide({
        serviceId,
        nowMs,
        deadlineAtMs: spec.deadlineAtMs,
        expectedMs: spec.recentTotalMs,
        waitMs: expectedStartDelayMs(view, spec.expectedFirstByteMs),
        // The request itself is already included in the counts.
        serviceRequestCount: requestTracker.serviceCount(serviceId) - 1,
        totalRequestCount: requestTracker.totalCount - 1,
        weight: service.weight,
        totalWeight: sumServiceWeights(config),
    });
}

/**
 * Returns the expected time until the server starts the request: its queue and, if a recent report shows that the
 * model is not loaded, the model load. With an older report, the agent checks whether there is time for the load.
 */
export function expectedStartDelayMs(view: ServerView, expectedFirstByteMs: number): number {
    const isCold = !view.loaded && view.reportAgeMs <= MAX_FRESH_REPORT_AGE_MS;
    return expectedWaitMs(view, expectedFirstByteMs, REPORT_DECAY_MS) + (isCold ? view.expectedLoadMs : 0);
}

function sumServiceWeights(config: ConfigView): number {
    let total = 0;
    for (const service of config.services().values()) total += service.config.weight;
    return total;
}

import {
    createAdmissionPolicy,
    createDurationEstimator,
    createQueueOrder,
    createResidencyPolicy,
} from "@skylarkmill/policy";
import type { AgentLimits, AgentOptions, AgentPolicies, ResolvedAgentOptions } from "../types/options.ts";
import type { ScheduledRequest } from "../types/request.ts";

const MIB = 1024 * 1024;

export const DEFAULT_AGENT_LIMITS: AgentLimits = {
    maxQueuedCount: 1000,
    maxBodyBytes: 4 * MIB,
    maxBufferedBodyBytes: 64 * MIB,
    maxResponseBytes: 16 * MIB,
    indexIntervalMs: 1000,
    settleMs: 2000,
    orderTimeoutMs: 600_000,
    orderEffectTimeoutMs: 5000,
    retryMinMs: 100,
    retryMaxMs: 5000,
    pauseThresholdMs: 5000,
    stopGraceMs: 500,
    maxOnceKeyCount: 10_000,
    maxOnceKeyAgeMs: 24 * 3600 * 1000,
    maxResumeCount: 3,
};

/** Adds default values to the agent's options. */
export function resolveAgentOptions(options: AgentOptions): ResolvedAgentOptions {
    const limits = { ...DEFAULT_AGENT_LIMITS, ...options.limits };
    const policies: AgentPolicies = {
        createQueueOrder: () => createQueueOrder<ScheduledRequest>(),
        admission: createAdmissionPolicy({ maxCount: limits.maxQueuedCount }),
        durations: createDurationEstimator(),
        residency: createResidencyPolicy(),
        ...options.policies,
    };
    return { ...options, limits, policies };
}

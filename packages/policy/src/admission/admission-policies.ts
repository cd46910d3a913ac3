import type { AdmissionDecision, AdmissionPolicy, AdmissionRequest } from "../types/policies.ts";
import { createRandom, type RandomSource } from "../utils/random.ts";
import type { ResolvedAdmissionPolicy } from "./create-admission-policy.ts";

const ADMITTED: AdmissionDecision = { admitted: true };

/** Baseline: refuses only when the queue is full, with a constant retry delay. */
export class BoundedQueueAdmission implements AdmissionPolicy {
    constructor(private readonly options: ResolvedAdmissionPolicy) {}

    decide(request: AdmissionRequest): AdmissionDecision {
        if (request.totalRequestCount < this.options.maxCount) return ADMITTED;
        return { admitted: false, code: "queue_full", retryAfterMs: this.options.minRetryMs };
    }
}

/**
 * Refuses requests that can't finish before their deadline. Once the queue is filled to `fairFromShare`, each service
 * is also limited to its share by weight.
 */
export class DeadlineAdmission implements AdmissionPolicy {
    private readonly random: RandomSource;

    constructor(private readonly options: ResolvedAdmissionPolicy) {
        this.random = createRandom(options.seed);
    }

    decide(request: AdmissionRequest): AdmissionDecision {
        if (request.totalRequestCount >= this.options.maxCount || this.exceedsFairShare(request)) {
            return this.refuse("queue_full", request.waitMs);
        }
        const neededMs = (request.waitMs + request.expectedMs) * this.options.safetyFactor;
        const missingMs = request.nowMs + neededMs - request.deadlineAtMs;
        return missingMs <= 0 ? ADMITTED : this.refuse("deadline_unreachable", missingMs);
    }

    private exceedsFairShare(request: AdmissionRequest): boolean {
        const { maxCount, fairFromShare } = this.options;
        if (request.totalRequestCount < maxCount * fairFromShare || request.totalWeight <= 0) return false;
        return request.serviceRequestCount >= maxCount * request.weight / request.totalWeight;
    }

    /** Adds jitter to the retry delay, so that callers refused at the same time don't retry at the same time. */
    private refuse(code: "queue_full" | "deadline_unreachable", delayMs: number): AdmissionDecision {
        const { minRetryMs, maxRetryMs } = this.options;
        const baseMs = Math.min(maxRetryMs, Math.max(minRetryMs, delayMs));
        return { admitted: false, code, retryAfterMs: Math.round(baseMs * (0.5 + this.random.fraction())) };
    }
}

import {
    createAdmissionPolicy,
    createDurationEstimator,
    createHedgePolicy,
    createPrefixAffinity,
    createRetryBudget,
    createServerChooser,
    createStragglerDetector,
} from "@skylarkmill/policy";
import type { RouterPolicies } from "../types/policies.ts";

/** The decision classes for production, with `overrides` in their place. */
export function createRouterPolicies(maxRequests: number, overrides: Partial<RouterPolicies>): RouterPolicies {
    return {
        chooser: createServerChooser(),
        admission: createAdmissionPolicy({ maxCount: maxRequests }),
        estimator: createDurationEstimator(),
        stragglers: createStragglerDetector(),
        hedges: createHedgePolicy(),
        retries: createRetryBudget(),
        affinity: createPrefixAffinity(),
        ...overrides,
    };
}

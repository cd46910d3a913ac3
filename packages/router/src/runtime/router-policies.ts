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

/** Creates the production policies and replaces those given in `overrides`. */
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

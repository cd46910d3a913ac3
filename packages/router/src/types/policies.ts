import type {
    AdmissionPolicy,
    DurationEstimator,
    HedgePolicy,
    PrefixAffinity,
    RetryBudget,
    ServerChooser,
    StragglerDetector,
} from "@skylarkmill/policy";

/** The policies that a router uses for its decisions. */
export interface RouterPolicies {
    readonly chooser: ServerChooser;
    readonly admission: AdmissionPolicy;
    readonly estimator: DurationEstimator;
    readonly stragglers: StragglerDetector;
    readonly hedges: HedgePolicy;
    readonly retries: RetryBudget;
    readonly affinity: PrefixAffinity;
}

/** A class of requests; durations are those on an idle server of normal speed. */
export interface RequestClass {
    readonly name: string;
    readonly medianMs: number;
    readonly priority: number;
    readonly timeoutMs: number;
}

/** Sizes and delays of one simulated deployment; those that section 1 of docs/design.md gives are taken from it. */
export interface Deployment {
    readonly name: string;
    readonly dataCentreCount: number;
    /** One-way network delay between data centres. */
    readonly crossDataCentreDelayMs: number;
    /** One-way network delay from a caller to its router. */
    readonly callerDelayMs: number;
    readonly routerCount: number;
    readonly engineCount: number;
    /** Slots of each engine. */
    readonly slotCount: number;
    readonly engineMemoryBytes: number;
    readonly modelCount: number;
    readonly modelMemoryBytes: readonly [min: number, max: number];
    /** Loads of a model of average size that the weight store completes per second. */
    readonly loadsPerSecond: number;
    /** Loads that run at the weight store at the same time. */
    readonly loadsInFlight: number;
    /** Number of models whose first requests arrive within one burst. */
    readonly burstModelCount: number;
    readonly hotModelCount: number;
    readonly short: readonly RequestClass[];
    readonly long: RequestClass;
}

const GIGABYTE = 1e9;

const common = {
    dataCentreCount: 3,
    crossDataCentreDelayMs: 1.5,
    routerCount: 6,
    engineCount: 12,
    slotCount: 8,
    engineMemoryBytes: 80 * GIGABYTE,
    modelMemoryBytes: [14 * GIGABYTE, 34 * GIGABYTE],
    loadsInFlight: 4,
    hotModelCount: 12,
} as const;

export const association: Deployment = {
    ...common,
    name: "association",
    callerDelayMs: 1,
    modelCount: 65,
    loadsPerSecond: 3.5,
    burstModelCount: 16,
    short: [
        { name: "parts-note", medianMs: 300, priority: 6, timeoutMs: 4_000 },
        { name: "diagnosis", medianMs: 800, priority: 5, timeoutMs: 8_000 },
    ],
    long: { name: "overhaul-report", medianMs: 8_000, priority: 3, timeoutMs: 90_000 },
};

export const depot: Deployment = {
    ...common,
    name: "depot",
    callerDelayMs: 3,
    modelCount: 40,
    loadsPerSecond: 5,
    burstModelCount: 12,
    short: [
        { name: "hall-lookup", medianMs: 250, priority: 6, timeoutMs: 4_000 },
        { name: "booking", medianMs: 600, priority: 6, timeoutMs: 6_000 },
    ],
    long: { name: "insurance-report", medianMs: 7_000, priority: 3, timeoutMs: 90_000 },
};

export const deployments: readonly Deployment[] = [association, depot];

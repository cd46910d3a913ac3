import type { ServerChooser } from "../types/policies.ts";
import { numberOption } from "../utils/options.ts";
import { LeastReportedChooser, RandomChooser } from "./baseline-choosers.ts";
import { ExpectedCompletionChooser } from "./expected-completion-chooser.ts";

export interface ServerChooserOptions {
    /** @default "expected-completion" */
    readonly name?: "random" | "least-reported" | "expected-completion";
    /** Seed of the random choices. @default the current time */
    readonly seed?: number;
    /** Number of randomly sampled loaded servers that are compared per request. @default 2 */
    readonly choices?: number;
    /** Age at which the weight of a load report has fallen to about a third. @default 500 */
    readonly staleReportMs?: number;
    /** Added cost of a server in another data centre. @default 3 */
    readonly crossDataCentreMs?: number;
    /** Added cost of a server that has to load the adapter first. @default 10 */
    readonly adapterLoadMs?: number;
    /** Share of the duration that a fully cached prompt saves. @default 0.3 */
    readonly prefixGain?: number;
    /** Added duration at a server whose slots are all in use, as a share of the duration. @default 0.2 */
    readonly busyShare?: number;
    /** Slowness from which a server counts as a straggler, which mainly receives probes. @default 2.5 */
    readonly stragglerSlowness?: number;
    /** Share of the requests that are sent to stragglers to detect their recovery. @default 0.002 */
    readonly probeShare?: number;
}

export interface ResolvedServerChooser {
    readonly name: "random" | "least-reported" | "expected-completion";
    readonly seed: number;
    readonly choices: number;
    readonly staleReportMs: number;
    readonly crossDataCentreMs: number;
    readonly adapterLoadMs: number;
    readonly prefixGain: number;
    readonly busyShare: number;
    readonly stragglerSlowness: number;
    readonly probeShare: number;
}

/**
 * Checks the options of a server chooser and fills in the defaults.
 *
 * @throws InvalidInputError when a value is out of range.
 */
export function resolveServerChooser(options: ServerChooserOptions = {}): ResolvedServerChooser {
    return {
        name: options.name ?? "expected-completion",
        seed: options.seed ?? Date.now(),
        choices: numberOption("choices", options.choices, 2, 1),
        staleReportMs: numberOption("staleReportMs", options.staleReportMs, 500, 1),
        crossDataCentreMs: numberOption("crossDataCentreMs", options.crossDataCentreMs, 3, 0),
        adapterLoadMs: numberOption("adapterLoadMs", options.adapterLoadMs, 10, 0),
        prefixGain: numberOption("prefixGain", options.prefixGain, 0.3, 0, 1),
        busyShare: numberOption("busyShare", options.busyShare, 0.2, 0),
        stragglerSlowness: numberOption("stragglerSlowness", options.stragglerSlowness, 2.5, 1),
        probeShare: numberOption("probeShare", options.probeShare, 0.002, 0, 1),
    };
}

/**
 * Creates the chooser of backend servers.
 *
 * @throws InvalidInputError when a value is out of range.
 * @example
 * const server = createServerChooser({ seed: 7 }).choose(request, servers);
 */
export function createServerChooser(options?: ServerChooserOptions): ServerChooser {
    const resolved = resolveServerChooser(options);
    if (resolved.name === "random") return new RandomChooser(resolved.seed);
    if (resolved.name === "least-reported") return new LeastReportedChooser(resolved.seed);
    return new ExpectedCompletionChooser(resolved);
}

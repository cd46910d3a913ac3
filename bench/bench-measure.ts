import type { Deployment } from "./deployments.ts";

/** One row of the printed table; the JSON report has exactly these fields. */
export interface BenchRow {
    readonly measure: string;
    readonly deployment: string;
    readonly baseline: number;
    readonly ours: number;
    /** The figure that is compared with the target. */
    readonly ratio: number;
    readonly target: string;
    readonly verdict: "pass" | "fail";
}

export interface BenchOptions {
    readonly seeds: readonly number[];
    /** Prints further figures of the run. */
    readonly detail: (line: string) => void;
}

/** One measure, run once per deployment. */
export interface BenchMeasure {
    readonly name: string;
    run(deployment: Deployment, options: BenchOptions): Promise<BenchRow>;
}

/**
 * Returns the value below which `share` of the values lie.
 *
 * @example
 * const p99 = percentile(latenciesMs, 0.99);
 */
export function percentile(values: readonly number[], share: number): number {
    const sorted = Float64Array.from(values).sort();
    return sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)] ?? Number.NaN;
}

export function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

/** Rounds to four significant digits, so that equal runs give reports that are equal byte for byte. */
export function roundForReport(value: number): number {
    return Number(value.toPrecision(4));
}

import { sleep } from "@skylarkmill/coordination";
import type { SkylarkmillError } from "@skylarkmill/protocol";
import type Logger from "bunyan";
import type { ResultAsync } from "neverthrow";
import startUpChart from "../charts/start-up.json" with { type: "json" };
import { backoffMs } from "../utils/backoff.ts";
import { Chart } from "../utils/chart.ts";

export type StartUpStep =
    | "bindPeerPort"
    | "readIndex"
    | "readGrants"
    | "raiseFence"
    | "settleEngine"
    | "exchangeRecords";
export type StartUpState = StartUpStep | "acceptingLoads";

const WARN_FAILURES = 5;

export interface StartUpOptions {
    readonly steps: Readonly<Record<StartUpStep, () => ResultAsync<void, SkylarkmillError>>>;
    readonly retryMinMs: number;
    readonly retryMaxMs: number;
    readonly logger: Logger;
}

/** Runs the start-up chart; each step is repeated until it succeeds. */
export class StartUp {
    private readonly chart = new Chart<StartUpState, "DONE" | "PAUSED">(startUpChart);

    constructor(private readonly options: StartUpOptions) {}

    get state(): StartUpState {
        return this.chart.state;
    }

    /** Goes back to the exchange of records, since they may be outdated; false during the start-up. */
    notePause(): boolean {
        return this.chart.send("PAUSED");
    }

    /** Resolves once the given state is reached or the signal aborts. */
    async runUntil(state: StartUpState, signal: AbortSignal): Promise<void> {
        let failureCount = 0;
        while (!signal.aborted && this.state !== state) {
            const step = this.state;
            if (step === "acceptingLoads") return;
            const result = await this.options.steps[step]();
            if (result.isOk()) {
                failureCount = 0;
                this.chart.send("DONE");
                continue;
            }
            failureCount += 1;
            this.report(step, failureCount, result.error);
            await sleep(backoffMs(failureCount, this.options.retryMinMs, this.options.retryMaxMs), signal);
        }
    }

    /** The first failures are normal while other processes start. */
    private report(state: StartUpStep, failureCount: number, error: SkylarkmillError): void {
        const fields = { step: error.step, peer: error.peer, state, failureCount, err: error };
        if (failureCount < WARN_FAILURES) this.options.logger.debug(fields, "start-up step is repeated");
        else this.options.logger.warn(fields, "start-up step failed");
    }
}

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

/** Number of consecutive failures of a step from which on failures are logged as warnings. */
const WARN_FAILURE_COUNT = 5;

export interface StartUpOptions {
    readonly steps: Readonly<Record<StartUpStep, () => ResultAsync<void, SkylarkmillError>>>;
    readonly retryMinMs: number;
    readonly retryMaxMs: number;
    readonly logger: Logger;
}

/** Runs the steps of the start-up state chart. Each step is retried until it succeeds. */
export class StartUp {
    private readonly chart = new Chart<StartUpState, "DONE" | "PAUSED">(startUpChart);

    constructor(private readonly options: StartUpOptions) {}

    get state(): StartUpState {
        return this.chart.state;
    }

    /** Returns to the exchange of records, which may be outdated after a pause. Returns false during the start-up. */
    restartAfterPause(): boolean {
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
            this.logFailure(step, failureCount, result.error);
            await sleep(backoffMs(failureCount, this.options.retryMinMs, this.options.retryMaxMs), signal);
        }
    }

    /** Logs a failure. The first failures are expected while other processes start. */
    private logFailure(state: StartUpStep, failureCount: number, error: SkylarkmillError): void {
        const fields = { step: error.step, peer: error.peer, state, failureCount, err: error };
        if (failureCount < WARN_FAILURE_COUNT) this.options.logger.debug(fields, "start-up step failed; retrying");
        else this.options.logger.warn(fields, "start-up step keeps failing; retrying");
    }
}

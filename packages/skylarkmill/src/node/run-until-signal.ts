import type { Logger } from "@skylarkmill/coordination";
import { endEarlyExit } from "./daemon-signals.ts";

/** Exit code of a process that could not start. */
export const START_FAILURE_EXIT_CODE = 1;

export interface RunUntilSignalOptions {
    readonly logger?: Logger;
    /** @default ["SIGTERM", "SIGINT"] */
    readonly stopSignals?: readonly NodeJS.Signals[];
}

/**
 * Waits for a stop signal, then calls `stop` and resolves with exit code 0. A further signal does not shorten the stop,
 * since it may be sent more than once; a SIGINT during the stop exits the process at once with exit code 1.
 */
export async function runUntilSignal(
    stop: () => Promise<void>,
    { logger, stopSignals = ["SIGTERM", "SIGINT"] }: RunUntilSignalOptions = {},
): Promise<number> {
    await new Promise<void>(resolve => {
        let isStopping = false;
        // The listeners stay, since a signal without one ends the process.
        for (const signal of stopSignals) {
            process.on(signal, () => {
                if (!isStopping) {
                    isStopping = true;
                    resolve();
                }
                else if (signal === "SIGINT") process.exit(1);
                else logger?.info({ step: "stop" }, `${signal} received again; the stop in progress continues`);
            });
        }
        endEarlyExit();
    });
    await stop();
    return 0;
}

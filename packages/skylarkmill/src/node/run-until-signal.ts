import type { Logger } from "@skylarkmill/coordination";

/** Exit code of a process that could not start. */
export const START_FAILURE_EXIT_CODE = 1;

/**
 * Waits for SIGTERM or SIGINT, then calls `stop` and resolves with exit code 0. A further SIGTERM does not shorten the
 * stop, since it may be sent more than once; a SIGINT during the stop exits the process at once with exit code 1.
 */
export async function runUntilSignal(stop: () => Promise<void>, logger?: Logger): Promise<number> {
    await new Promise<void>(resolve => {
        let isStopping = false;
        const beginStop = (): void => {
            isStopping = true;
            resolve();
        };
        // The listeners stay, since a signal without one ends the process.
        process.on("SIGTERM", () => {
            if (isStopping) logger?.info({ step: "stop" }, "SIGTERM received again; the stop in progress continues");
            else beginStop();
        });
        process.on("SIGINT", () => {
            if (isStopping) process.exit(1);
            else beginStop();
        });
    });
    await stop();
    return 0;
}

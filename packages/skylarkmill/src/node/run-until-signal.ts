import type { Logger } from "@skylarkmill/coordination";

/**
 * Waits for SIGTERM or SIGINT, then calls `stop` and resolves with exit code 0. A further SIGTERM does not shorten the
 * stop, since it may be sent more than once; a SIGINT during the stop exits the process at once with exit code 1.
 */
export async function runUntilSignal(stop: () => Promise<void>, logger?: Logger): Promise<number> {
    await new Promise<void>(resolve => {
        const onSignal = (): void => {
            for (const signal of ["SIGTERM", "SIGINT"] as const) process.off(signal, onSignal);
            process.on(
                "SIGTERM",
                () => logger?.info({ step: "stop" }, "SIGTERM received again; the stop in progress continues"),
            );
            process.once("SIGINT", () => process.exit(1));
            resolve();
        };
        process.on("SIGTERM", onSignal).on("SIGINT", onSignal);
    });
    await stop();
    return 0;
}

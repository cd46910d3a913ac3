/**
 * Waits for SIGTERM or SIGINT, then calls `stop` and resolves with exit code 0. A second signal during the stop exits the
 * process at once with exit code 1.
 */
export async function runUntilSignal(stop: () => Promise<void>): Promise<number> {
    await new Promise<void>(resolve => {
        const onSignal = (): void => {
            for (const signal of ["SIGTERM", "SIGINT"] as const) {
                process.off(signal, onSignal);
                process.once(signal, () => process.exit(1));
            }
            resolve();
        };
        process.on("SIGTERM", onSignal).on("SIGINT", onSignal);
    });
    await stop();
    return 0;
}

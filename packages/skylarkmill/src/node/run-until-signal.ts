/** Runs until SIGTERM or SIGINT, then stops gracefully; a second signal ends the process at once. */
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

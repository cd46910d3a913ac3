import { LocalFileSource, type Logger, readCompleteFile } from "@skylarkmill/coordination";
import type { InvalidInputError, SkylarkmillError, UnavailableError } from "@skylarkmill/protocol";
import type { Result } from "neverthrow";
import process from "node:process";

/**
 * Longest time that the start of a process waits for one of its files. It is bounded because a process that waits for a
 * mistyped path looks like one that started, and nobody would read why it doesn't serve.
 */
export const FILE_WAIT_MS = 30_000;

export interface AwaitedFileOptions<Value> {
    readonly path: string;
    /** Operation in progress, for the log. */
    readonly step: string;
    /** See `CompleteFileOptions`. */
    readonly decode: (text: string) => Result<Value, UnavailableError | InvalidInputError>;
    /** @default FILE_WAIT_MS */
    readonly maxWaitMs?: number;
    readonly logger: Logger;
}

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Calls `stop` on SIGTERM and SIGINT until the returned function is called. */
function listenForStop(stop: () => void): () => void {
    for (const signal of STOP_SIGNALS) process.on(signal, stop);
    return () => {
        for (const signal of STOP_SIGNALS) process.off(signal, stop);
    };
}

/**
 * Reads a file that may still be written when the process starts, and logs a wait for it. Returns undefined if SIGTERM or
 * SIGINT ended the wait.
 *
 * @example
 * const settings = await readAwaitedFile({ path, step: "settings.read", decode: decodeSettings, logger });
 */
export async function readAwaitedFile<Value>(
    { path, step, decode, maxWaitMs = FILE_WAIT_MS, logger }: AwaitedFileOptions<Value>,
): Promise<Result<Value, SkylarkmillError> | undefined> {
    const fields = { step, peer: path };
    const stopController = new AbortController();
    let endListening = (): void => undefined;
    const result = await readCompleteFile({
        source: new LocalFileSource(path),
        decode,
        maxWaitMs,
        onWait: error => {
            // Before the log line, which may be what a stop reacts to.
            endListening = listenForStop(() => stopController.abort());
            logger.warn({ ...fields, cause: error.message, maxWaitMs }, "file can't be used yet; it is read again");
            return stopController.signal;
        },
        onRead: waitedMs => logger.info({ ...fields, waitedMs }, "file was read after a wait"),
    });
    // A listener that stayed would swallow a signal that arrives before the command has its own.
    if (!stopController.signal.aborted) {
        endListening();
        return result;
    }
    logger.info({ ...fields }, "stopped while the file was missing or not complete");
    return undefined;
}

import { type InvalidInputError, type SkylarkmillError, UnavailableError } from "@skylarkmill/protocol";
import { Result } from "neverthrow";
import { readFileSync, statSync } from "node:fs";
import { sleep } from "../utils/sleep.ts";

/** Time between two reads of a file that is missing or not complete. */
export const FILE_READ_INTERVAL_MS = 100;

/** A file that another program may be writing. */
export interface FileSource {
    readonly path: string;
    /** Throws if the file can't be read. */
    read(): string;
    /** Whether the content is gone after it was read, as with a pipe. */
    isReadOnce(): boolean;
}

/** Reads a file of the file system as UTF-8. */
export class LocalFileSource implements FileSource {
    readonly path: string;

    constructor(path: string) {
        this.path = path;
    }

    // A synchronous read, since an asynchronous one of a pipe without a writer keeps the process from exiting.
    read(): string {
        return readFileSync(this.path, "utf8");
    }

    isReadOnce(): boolean {
        return statSync(this.path, { throwIfNoEntry: false })?.isFIFO() ?? false;
    }
}

export interface CompleteFileOptions<Value> {
    readonly source: FileSource;
    /** Returns an `UnavailableError` for a text that may be one part of the content. */
    readonly decode: (text: string) => Result<Value, UnavailableError | InvalidInputError>;
    /** Longest time for which the file is read again. */
    readonly maxWaitMs: number;
    /** Called once, after the first read that did not succeed; the returned signal ends the wait. */
    readonly onWait: (error: UnavailableError) => AbortSignal;
    /** Called if the file was read after a wait. */
    readonly onRead: (waitedMs: number) => void;
}

/**
 * Reads a file that another program writes at the same time: one that is missing, can't be read or is not complete is
 * read again until it is complete or the longest time has passed. Complete but invalid content is returned at once. The
 * returned error is that of the last read.
 *
 * @example
 * const settings = await readCompleteFile({ source, decode: decodeSettings, maxWaitMs: 30_000, onWait, onRead });
 */
export async function readCompleteFile<Value>(
    options: CompleteFileOptions<Value>,
): Promise<Result<Value, SkylarkmillError>> {
    const { source, decode, maxWaitMs } = options;
    const startedAtMs = performance.now();
    let signal: AbortSignal | undefined;
    for (;;) {
        const result = readFileText(source).andThen(decode);
        const waitedMs = performance.now() - startedAtMs;
        if (result.isOk() && signal !== undefined) options.onRead(Math.round(waitedMs));
        if (result.isOk() || !(result.error instanceof UnavailableError)) return result;
        if (waitedMs >= maxWaitMs || source.isReadOnce()) return result;
        signal ??= options.onWait(result.error);
        await sleep(Math.min(FILE_READ_INTERVAL_MS, maxWaitMs - waitedMs), signal);
        if (signal.aborted) return result;
    }
}

/** Reads the whole text of a file. */
export function readFileText(source: FileSource): Result<string, UnavailableError> {
    return Result.fromThrowable(
        () => source.read(),
        cause => {
            const message = `the file can't be read: ${cause instanceof Error ? cause.message : String(cause)}`;
            return new UnavailableError(message, { step: "file.read", peer: source.path, cause });
        },
    )();
}

import { constants, fstatSync, openSync } from "node:fs";
import { Socket } from "node:net";
import process from "node:process";
import type { Writable } from "node:stream";

/** Largest size of the lines that wait for a reader; further lines are dropped. */
const MAX_WAITING_BYTES = 1024 * 1024;
/** Longest time for which a process that exits waits for its last lines to be read. */
const FLUSH_TIMEOUT_MS = 500;

const STANDARD_OUTPUT_FD = 1;

export interface LogOutputOptions {
    readonly stream: Writable;
    /** Opens the stream that takes the place of one that has failed. */
    readonly openFallback?: () => Writable;
    readonly maxWaitingBytes?: number;
    readonly flushTimeoutMs?: number;
    /** Called once, on the first error. */
    readonly onError: (error: Error) => void;
}

/** Writes log lines without waiting for their reader. While the reader is away, a bounded number of bytes is kept. */
export class LogOutput {
    private stream: Writable;
    private readonly options: LogOutputOptions;
    private droppedCount = 0;
    private hasFailed = false;
    /** Called with the number of dropped lines when the reader is back. */
    onDropped: (lineCount: number) => void = () => undefined;

    constructor(options: LogOutputOptions) {
        this.options = options;
        this.stream = options.stream;
        this.listen();
    }

    write(line: string): void {
        const { maxWaitingBytes = MAX_WAITING_BYTES } = this.options;
        const waitingBytes = this.stream.writableLength;
        const isFull = waitingBytes > 0 && waitingBytes + Buffer.byteLength(line) > maxWaitingBytes;
        if (this.droppedCount > 0 || isFull) {
            this.droppedCount += 1;
            return;
        }
        this.stream.write(line, this.handleWritten);
    }

    /** Resolves when all lines have been written, or after a timeout. */
    flush(): Promise<void> {
        if (this.stream.writableLength === 0) return Promise.resolve();
        return new Promise(resolve => {
            setTimeout(resolve, this.options.flushTimeoutMs ?? FLUSH_TIMEOUT_MS);
            // The callback comes after those of all lines, also if the stream has failed.
            this.stream.write("", () => resolve());
        });
    }

    private readonly handleWritten = (): void => {
        if (this.stream.writableLength === 0) this.reportDropped();
    };

    private listen(): void {
        this.stream.on("error", (error: Error) => this.handleError(error));
    }

    private reportDropped(): void {
        if (this.droppedCount === 0) return;
        const lineCount = this.droppedCount;
        this.droppedCount = 0;
        this.onDropped(lineCount);
    }

    private handleError(error: Error): void {
        const { openFallback, onError } = this.options;
        if (this.hasFailed) return;
        this.hasFailed = true;
        onError(error);
        if (openFallback === undefined) return;
        this.stream = openFallback();
        this.listen();
        this.reportDropped();
    }
}

/**
 * Opens the pipe behind the standard output once more. Whether writes to the standard output wait is shared with the other
 * processes that have the same pipe; Node.js, for one, makes them wait when such a process exits.
 */
function openOwnPipe(): Writable | undefined {
    try {
        if (!fstatSync(STANDARD_OUTPUT_FD).isFIFO()) return undefined;
        const fd = openSync(`/proc/self/fd/${STANDARD_OUTPUT_FD}`, constants.O_WRONLY | constants.O_NONBLOCK);
        return new Socket({ fd, readable: false, writable: true });
    }
    catch {
        // Without /proc, without permission or without a reader the standard output itself is used.
        return undefined;
    }
}

function createStandardOutput(): LogOutput {
    process.stderr.on("error", () => undefined);
    const ownPipe = openOwnPipe();
    return new LogOutput({
        stream: ownPipe ?? process.stdout,
        ...(ownPipe === undefined ? {} : { openFallback: () => process.stdout }),
        onError: error =>
            void process.stderr.write(
                `skylarkmill: the log can't be written, further lines may be lost: ${error.message}\n`,
            ),
    });
}

let standardOutput: LogOutput | undefined;

/** Returns the log of the process on its standard output. */
export function openStandardOutput(): LogOutput {
    standardOutput ??= createStandardOutput();
    return standardOutput;
}

/** Exits the process after its last log lines have been written, or can't be within a short time. */
export async function exitProcess(exitCode: number): Promise<never> {
    await standardOutput?.flush();
    return process.exit(exitCode);
}

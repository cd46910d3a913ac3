import type { Logger } from "@skylarkmill/coordination";

const CHECK_INTERVAL_MS = 2_000;
/** Share of the limit from which a process is close to its end. */
const HIGH_SHARE = 0.8;
/** Share below which it no longer is; lower, so that memory at the first bound doesn't write a line at each check. */
const NORMAL_SHARE = 0.7;
const BYTES_PER_MB = 1_000_000;

/** What a process's resident memory consists of, in bytes; code, stacks and what the allocator keeps are the rest. */
export interface MemoryUsage {
    readonly rss: number;
    readonly heapTotal: number;
    readonly heapUsed: number;
    readonly external: number;
    readonly arrayBuffers: number;
}

export interface MemoryWatchOptions {
    /** Memory beyond which the process is ended. */
    readonly limitBytes: number;
    readonly logger: Logger;
    /** Resident memory in bytes; this is called regularly. */
    readonly readResidentBytes: () => number;
    /** All parts; this is called only for a line of the log. */
    readonly readUsage: () => MemoryUsage;
}

export type MemoryLevel = "normal" | "high";

/**
 * Decides whether memory is high from its size and the level before.
 *
 * @param residentShare Resident memory as a share of the limit.
 *
 * @example
 * ```ts
 * decideMemoryLevel("normal", 0.75); // "normal"
 * decideMemoryLevel("high", 0.75); // "high"
 * ```
 */
export function decideMemoryLevel(level: MemoryLevel, residentShare: number): MemoryLevel {
    if (residentShare >= HIGH_SHARE) return "high";
    return residentShare < NORMAL_SHARE ? "normal" : level;
}

/** Writes a line when the process comes close to the memory beyond which it is ended, and one when it no longer is. */
export class MemoryWatch {
    private level: MemoryLevel = "normal";
    private timer: NodeJS.Timeout | undefined;
    private hasFailed = false;

    constructor(private readonly options: MemoryWatchOptions) {}

    start(): void {
        this.timer ??= setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
    }

    stop(): void {
        clearInterval(this.timer);
        this.timer = undefined;
    }

    private check(): void {
        const { limitBytes, logger, readResidentBytes, readUsage } = this.options;
        try {
            const level = decideMemoryLevel(this.level, readResidentBytes() / limitBytes);
            if (level === this.level) return;
            this.level = level;
            const fields = { step: "memory", limitMb: toMb(limitBytes), ...toFields(readUsage()) };
            if (level === "high") logger.warn(fields, "memory is close to the limit beyond which the process is ended");
            else logger.info(fields, "memory is no longer close to the limit");
        }
        catch (error) {
            // Some hosts don't let a process read its memory; serving goes on without the watch.
            if (!this.hasFailed) logger.warn({ step: "memory", err: error }, "memory can't be read");
            this.hasFailed = true;
        }
    }
}

function toFields({ rss, heapTotal, heapUsed, external, arrayBuffers }: MemoryUsage): object {
    return {
        residentMb: toMb(rss),
        heapTotalMb: toMb(heapTotal),
        heapUsedMb: toMb(heapUsed),
        externalMb: toMb(external),
        arrayBuffersMb: toMb(arrayBuffers),
    };
}

function toMb(byteCount: number): number {
    return Math.round(byteCount / BYTES_PER_MB);
}

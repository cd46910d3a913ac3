import type { QueueEntry, QueueOrder } from "../types/policies.ts";
import { numberOption } from "../utils/options.ts";
import { DeadlineOrder } from "./deadline-order.ts";
import { FifoOrder } from "./fifo-order.ts";

export interface QueueOrderOptions {
    /** @default "deadline" */
    readonly name?: "fifo" | "deadline";
    /** Expected duration from which a request counts as long. @default 5000 */
    readonly longMs?: number;
    /** Share of the slots that is reserved for short requests. @default 0.25 */
    readonly shortSlotShare?: number;
    /** Milliseconds added to the rank per millisecond of expected duration. @default 1 */
    readonly lengthWeight?: number;
    /** Milliseconds added to the rank per millisecond between expected end and deadline. @default 0.1 */
    readonly deadlineWeight?: number;
    /** Milliseconds subtracted from the rank per priority level. @default 500 */
    readonly priorityMs?: number;
    /** Maximum of the milliseconds added to the rank; limits how long later entries can overtake. @default 20000 */
    readonly maxDelayMs?: number;
}

export interface ResolvedQueueOrder {
    readonly name: "fifo" | "deadline";
    readonly longMs: number;
    readonly shortSlotShare: number;
    readonly lengthWeight: number;
    readonly deadlineWeight: number;
    readonly priorityMs: number;
    readonly maxDelayMs: number;
}

/**
 * Checks the options of a queue order and fills in the defaults.
 *
 * @throws InvalidInputError when a value is out of range.
 */
export function resolveQueueOrder(options: QueueOrderOptions = {}): ResolvedQueueOrder {
    return {
        name: options.name ?? "deadline",
        longMs: numberOption("longMs", options.longMs, 5_000, 1),
        shortSlotShare: numberOption("shortSlotShare", options.shortSlotShare, 0.25, 0, 1),
        lengthWeight: numberOption("lengthWeight", options.lengthWeight, 1, 0),
        deadlineWeight: numberOption("deadlineWeight", options.deadlineWeight, 0.1, 0),
        priorityMs: numberOption("priorityMs", options.priorityMs, 500, 0),
        maxDelayMs: numberOption("maxDelayMs", options.maxDelayMs, 20_000, 0),
    };
}

/**
 * Creates the order of the requests that wait at one backend server.
 *
 * @throws InvalidInputError when a value is out of range.
 * @example
 * const queue = createQueueOrder<ScheduledRequest>();
 * const entry = queue.dequeue(Date.now(), { slotCount: 8, runningCount: 3, runningLongCount: 1 }, isReady);
 */
export function createQueueOrder<Entry extends QueueEntry = QueueEntry>(
    options?: QueueOrderOptions,
): QueueOrder<Entry> {
    const resolved = resolveQueueOrder(options);
    return resolved.name === "fifo" ? new FifoOrder<Entry>(resolved.longMs) : new DeadlineOrder<Entry>(resolved);
}

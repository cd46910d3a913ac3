import { nowMs } from "../utils/clock.ts";
import { MAX_READ_COST_MS } from "./loop-share.ts";

/** Number of addresses from which those that owe nothing any more are dropped. */
const MAX_IDLE_ADDRESSES = 1_000;

/**
 * Time that callers' addresses have taken from the event loop beyond their share. A new connection from an address that
 * owes some isn't read at once; otherwise callers could take the whole loop with the first reads of ever new connections.
 *
 * @example
 * const debts = new ReadDebts(0.5);
 * debts.add("192.0.2.7", 15);
 * if (debts.isOwing("192.0.2.7")) waitForTurn();
 */
export class ReadDebts {
    private readonly freeAtMs = new Map<string, number>();

    /** @param maxShare part of the loop's time that one address may take, above 0 and at most 1 */
    constructor(private readonly maxShare: number) {}

    /** Counts a read that took `costMs`, in milliseconds. */
    add(address: string, costMs: number): void {
        if (this.freeAtMs.size >= MAX_IDLE_ADDRESSES) this.dropIdle();
        const startMs = Math.max(this.freeAtMs.get(address) ?? 0, nowMs());
        this.freeAtMs.set(address, startMs + Math.min(costMs, MAX_READ_COST_MS) / this.maxShare);
    }

    isOwing(address: string): boolean {
        return (this.freeAtMs.get(address) ?? 0) > nowMs();
    }

    private dropIdle(): void {
        const atMs = nowMs();
        for (const [address, freeAtMs] of this.freeAtMs) if (freeAtMs <= atMs) this.freeAtMs.delete(address);
    }
}

import { abortResponse, nowMs } from "@skylarkmill/coordination";
import type { ServerResponse } from "node:http";
import type { ByteBudget } from "./byte-budget.ts";

/** Time for which a caller must have taken nothing before its response is ended for lack of memory. */
const MIN_STALL_MS = 1_000;

/** A long response body that is written as fast as its caller reads. */
class UnreadBody {
    private takenAtMs = nowMs();
    private readonly parts: Buffer[];
    private heldByteCount: number;
    private writtenByteCount = 0;

    constructor(
        readonly response: ServerResponse,
        parts: readonly Buffer[],
        private readonly budget: ByteBudget,
    ) {
        this.parts = [...parts];
        this.heldByteCount = countBytes(parts);
        budget.reserve(this.heldByteCount);
    }

    get stalledMs(): number {
        return nowMs() - this.takenAtMs;
    }

    /** Writes the next part; the one before it is with the operating system. */
    writeNext(): void {
        if (this.response.destroyed) return;
        this.takenAtMs = nowMs();
        this.release(this.writtenByteCount);
        const part = this.parts.shift();
        this.writtenByteCount = part?.length ?? 0;
        if (part === undefined) this.response.end();
        else if (this.response.write(part)) this.writeNext();
        else this.response.once("drain", () => this.writeNext());
    }

    free(): void {
        this.release(this.heldByteCount);
        this.parts.length = 0;
        this.writtenByteCount = 0;
    }

    private release(byteCount: number): void {
        this.heldByteCount -= byteCount;
        this.budget.release(byteCount);
    }
}

/**
 * Writes long response bodies and counts them against the process's budget until their callers have read them. While the
 * budget is used up, responses that nobody reads are ended, the longest stalled first.
 */
export class UnreadResponses {
    private readonly bodies = new Set<UnreadBody>();

    /** @param onEnded Called for each response that is ended for lack of memory. */
    constructor(private readonly budget: ByteBudget, private readonly onEnded: () => void) {
        budget.onShort(missingByteCount => this.reclaim(missingByteCount));
    }

    /** Writes the body of a response whose head has been written, and ends the response. */
    send(response: ServerResponse, parts: readonly Buffer[]): void {
        const body = new UnreadBody(response, parts, this.budget);
        this.bodies.add(body);
        response.once("close", () => this.free(body));
        body.writeNext();
    }

    private reclaim(missingByteCount: number): void {
        const wantedByteCount = this.budget.byteCount - missingByteCount;
        const stalled = [...this.bodies].filter(({ stalledMs }) => stalledMs >= MIN_STALL_MS)
            .sort((a, b) => b.stalledMs - a.stalledMs);
        for (const body of stalled) {
            if (this.budget.byteCount <= wantedByteCount) return;
            this.free(body);
            this.onEnded();
            abortResponse(body.response);
        }
    }

    private free(body: UnreadBody): void {
        if (this.bodies.delete(body)) body.free();
    }
}

/** Counts the bytes of a body in parts. */
export function countBytes(parts: readonly Buffer[]): number {
    return parts.reduce((sum, part) => sum + part.length, 0);
}

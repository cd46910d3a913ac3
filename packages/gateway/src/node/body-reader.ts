import type { Refusal } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import type { ByteBudget } from "../runtime/byte-budget.ts";
import { refusals } from "../utils/refusals.ts";

/**
 * Bytes of each body that are not taken from the budget, so that large bodies leave room for small ones; the number of
 * connections limits them.
 */
const UNCOUNTED_BYTES = 16 * 1024;

/** Reads the body of one request within a limit for each body and a budget for all of them. */
export class BodyReader {
    private readonly request: IncomingMessage;
    private readonly maxBytes: number;
    private readonly budget: ByteBudget;
    private reservedByteCount = 0;

    constructor(request: IncomingMessage, maxBytes: number, budget: ByteBudget) {
        this.request = request;
        this.maxBytes = maxBytes;
        this.budget = budget;
    }

    /**
     * Resolves with the whole body, or with a refusal as soon as it is clear that the body is not taken; the rest of it is
     * discarded then. An `undefined` error means that the caller has disconnected.
     */
    read(): Promise<Result<Buffer | undefined, Refusal | undefined>> {
        const { request } = this;
        const statedByteCount = Number(request.headers["content-length"] ?? 0);
        return new Promise(resolve => {
            // A body of a stated length is read into place, so that its parts don't take memory until it is complete.
            let whole: Buffer | undefined;
            let chunks: Buffer[] = [];
            let byteCount = 0;
            let isTaken = true;
            const refuse = (refusal: Refusal): void => {
                isTaken = false;
                whole = undefined;
                chunks = [];
                this.release();
                resolve(err(refusal));
            };
            if (statedByteCount <= this.maxBytes && !this.tryReserve(statedByteCount)) refuse(refusals.noMemory());
            request.on("data", (chunk: Buffer) => {
                const offset = byteCount;
                byteCount += chunk.length;
                if (!isTaken || byteCount > this.maxBytes) return;
                if (!this.tryReserve(byteCount)) return refuse(refusals.noMemory());
                if (statedByteCount > 0 && statedByteCount <= this.maxBytes) {
                    whole ??= Buffer.allocUnsafeSlow(statedByteCount);
                    chunk.copy(whole, offset);
                }
                else chunks.push(chunk);
            });
            request.once("end", () => {
                if (byteCount > this.maxBytes) resolve(err(refusals.invalidRequest("The body is too long.", 413)));
                else resolve(ok(byteCount === 0 ? undefined : whole ?? Buffer.concat(chunks, byteCount)));
                chunks = [];
            });
            request.once("error", () => resolve(err(undefined)));
            request.once("close", () => resolve(err(undefined)));
        });
    }

    /** Returns the body's bytes to the budget, once nothing refers to the body. */
    release(): void {
        this.budget.release(this.reservedByteCount);
        this.reservedByteCount = 0;
    }

    /** Reserves bytes until the body has `byteCount` in all; returns false if there is no room. */
    private tryReserve(byteCount: number): boolean {
        const missingByteCount = byteCount - UNCOUNTED_BYTES - this.reservedByteCount;
        if (missingByteCount <= 0) return true;
        if (!this.budget.tryReserve(missingByteCount)) return false;
        this.reservedByteCount += missingByteCount;
        return true;
    }
}

import { ByteCollector } from "@skylarkmill/coordination";
import type { Refusal } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { type ByteBudget, MAX_SMALL_BODY_BYTES } from "../runtime/byte-budget.ts";
import { BODY_BLOCK_BYTES, type BodyBlockPool, RequestBody } from "../runtime/request-body.ts";
import { refusals } from "../utils/refusals.ts";

/** Memory for the bodies of all requests. */
export interface BodyMemory {
    /** For bodies that are larger than `MAX_SMALL_BODY_BYTES`; responses are counted there too. */
    readonly largeBudget: ByteBudget;
    readonly smallBudget: ByteBudget;
    readonly pool: BodyBlockPool;
}

/** Why a body is not taken: it is over the limit, or the budget for small or for large ones has no room. */
export type BodyFault = "too_long" | "no_small_memory" | "no_large_memory";

/** Reads the body of one request within a limit for each body and budgets for all of them. */
export class BodyReader {
    private readonly request: IncomingMessage;
    private readonly maxBytes: number;
    private readonly memory: BodyMemory;
    private reservedByteCount = 0;
    private byteCount = 0;
    /** A body that has no room of the budget for large ones. */
    private readonly smallBody = new ByteCollector();
    private smallReservedByteCount = 0;
    private blocks: Buffer[] = [];
    private body: RequestBody | undefined;
    private isDiscarded = false;
    private currentFault: BodyFault | undefined;

    constructor(request: IncomingMessage, maxBytes: number, memory: BodyMemory) {
        this.request = request;
        this.maxBytes = maxBytes;
        this.memory = memory;
    }

    /** Why the body has been refused. */
    get fault(): BodyFault | undefined {
        return this.currentFault;
    }

    /**
     * Resolves with the whole body, or with a refusal as soon as it is clear that the body is not taken. What it keeps is
     * freed then; see `RefusedBody` for the rest of the body. An `undefined` error means that the caller has disconnected.
     */
    read(): Promise<Result<RequestBody | undefined, Refusal | undefined>> {
        const { request, maxBytes } = this;
        const statedByteCount = Number(request.headers["content-length"] ?? 0);
        return new Promise(resolve => {
            const refuse = (refusal: Refusal, fault: BodyFault): void => {
                this.currentFault = fault;
                this.discard();
                resolve(err(refusal));
            };
            const tooLong = refusals.invalidRequest("The body is too long.", 413);
            if (statedByteCount > maxBytes) refuse(tooLong, "too_long");
            else if (!this.tryReserve(statedByteCount)) refuse(refusals.noMemory(), "no_large_memory");
            request.on("data", (chunk: Buffer) => {
                if (this.isDiscarded) return;
                const byteCount = this.byteCount + chunk.length;
                if (byteCount > maxBytes) refuse(tooLong, "too_long");
                else if (!this.tryReserve(byteCount)) refuse(refusals.noMemory(), "no_large_memory");
                else if (!this.tryAppend(chunk)) refuse(refusals.noMemory(), "no_small_memory");
            });
            request.once("end", () => {
                if (!this.isDiscarded) resolve(ok(this.complete()));
            });
            request.once("error", () => resolve(err(undefined)));
            request.once("close", () => resolve(err(undefined)));
        });
    }

    /** Gives up the body, whether it is complete or not. */
    discard(): void {
        this.isDiscarded = true;
        if (this.body === undefined) this.free();
        else this.body.discard();
    }

    private complete(): RequestBody | undefined {
        if (this.byteCount === 0) return undefined;
        const lastByteCount = this.byteCount % BODY_BLOCK_BYTES;
        const parts = this.blocks.length === 0
            ? [this.smallBody.toBuffer()]
            : this.blocks.map((block, index) =>
                lastByteCount > 0 && index === this.blocks.length - 1 ? block.subarray(0, lastByteCount) : block
            );
        // The body's parts hold the bytes from here on; their memory stays reserved.
        this.smallBody.clear();
        if (this.smallReservedByteCount > this.byteCount) {
            this.memory.smallBudget.release(this.smallReservedByteCount - this.byteCount);
            this.smallReservedByteCount = this.byteCount;
        }
        this.body = new RequestBody(parts, this.byteCount, () => this.free());
        return this.body;
    }

    /**
     * Appends a chunk; a small body that exceeds its limit without a stated length moves to blocks. Returns false if there
     * is no room.
     */
    private tryAppend(chunk: Buffer): boolean {
        if (this.reservedByteCount === 0) {
            this.smallBody.append(chunk);
            this.byteCount += chunk.length;
            return this.tryReserveSmall();
        }
        if (this.smallBody.byteCount > 0) {
            const earlierBytes = this.smallBody.toBuffer();
            this.byteCount = 0;
            this.copyToBlocks(earlierBytes);
            this.freeSmall();
        }
        this.copyToBlocks(chunk);
        return true;
    }

    private copyToBlocks(chunk: Buffer): void {
        let offset = 0;
        while (offset < chunk.length) {
            const blockOffset = this.byteCount % BODY_BLOCK_BYTES;
            if (blockOffset === 0) this.blocks.push(this.memory.pool.take());
            const copiedByteCount = chunk.copy(this.blocks.at(-1)!, blockOffset, offset);
            offset += copiedByteCount;
            this.byteCount += copiedByteCount;
        }
    }

    /** Returns the body's memory, once nothing reads it. */
    private free(): void {
        for (const block of this.blocks) this.memory.pool.give(block);
        this.blocks = [];
        this.memory.largeBudget.release(this.reservedByteCount);
        this.reservedByteCount = 0;
        this.freeSmall();
    }

    private freeSmall(): void {
        this.smallBody.clear();
        this.memory.smallBudget.release(this.smallReservedByteCount);
        this.smallReservedByteCount = 0;
    }

    private tryReserveSmall(): boolean {
        const missingByteCount = this.smallBody.heldByteCount - this.smallReservedByteCount;
        if (!this.memory.smallBudget.tryReserve(missingByteCount)) return false;
        this.smallReservedByteCount += missingByteCount;
        return true;
    }

    /** Reserves the blocks for a body of `byteCount` in all; returns false if there is no room. */
    private tryReserve(byteCount: number): boolean {
        if (byteCount <= MAX_SMALL_BODY_BYTES) return true;
        const neededByteCount = Math.ceil(byteCount / BODY_BLOCK_BYTES) * BODY_BLOCK_BYTES;
        const missingByteCount = neededByteCount - this.reservedByteCount;
        if (missingByteCount <= 0) return true;
        if (!this.memory.largeBudget.tryReserve(missingByteCount)) return false;
        this.reservedByteCount += missingByteCount;
        return true;
    }
}

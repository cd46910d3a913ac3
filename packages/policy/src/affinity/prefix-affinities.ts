import type { AdapterId, ModelId, ServerId } from "@skylarkmill/protocol";
import { createHash } from "node:crypto";
import type { PrefixAffinity } from "../types/policies.ts";
import { numberOption } from "../utils/options.ts";

export interface PrefixAffinityOptions {
    /** @default "hash" */
    readonly name?: "none" | "hash";
    /** Characters per block; prompts are compared in whole blocks. @default 256 */
    readonly blockLength?: number;
    /** Blocks recorded per prompt, from its start. @default 16 */
    readonly maxBlocks?: number;
    /** Blocks kept over all servers; the least recently recorded one is evicted. @default 20000 */
    readonly maxEntries?: number;
    /** Age from which a block counts as evicted from the server's cache. @default 600000 */
    readonly maxAgeMs?: number;
}

export interface ResolvedPrefixAffinity {
    readonly name: "none" | "hash";
    readonly blockLength: number;
    readonly maxBlocks: number;
    readonly maxEntries: number;
    readonly maxAgeMs: number;
}

/** Baseline: expects no prompt to be cached on any server. */
export class NoAffinity implements PrefixAffinity {
    record(_serverId: ServerId, _modelId: ModelId, _adapterId: AdapterId | undefined, _prompt: string): void {}

    match(_serverId: ServerId, _modelId: ModelId, _adapterId: AdapterId | undefined, _prompt: string): number {
        return 0;
    }
}

/** Tracks chained hashes of prompt blocks per server, with a bounded number of entries. */
export class HashAffinity implements PrefixAffinity {
    private readonly recordedAtMs = new Map<string, number>();
    /** Hashes of the last prompt, returned again while the prompt stays the same. */
    private cached: { readonly key: string; readonly hashes: readonly string[]; } = { key: "", hashes: [] };

    constructor(private readonly options: ResolvedPrefixAffinity) {}

    record(
        serverId: ServerId,
        modelId: ModelId,
        adapterId: AdapterId | undefined,
        prompt: string,
        nowMs: number,
    ): void {
        for (const blockHash of this.blockHashes(modelId, adapterId, prompt)) {
            const key = entryKey(serverId, blockHash);
            this.recordedAtMs.delete(key);
            this.recordedAtMs.set(key, nowMs);
        }
        this.evictOldest();
    }

    match(
        serverId: ServerId,
        modelId: ModelId,
        adapterId: AdapterId | undefined,
        prompt: string,
        nowMs: number,
    ): number {
        const blockHashes = this.blockHashes(modelId, adapterId, prompt);
        const minRecordedAtMs = nowMs - this.options.maxAgeMs;
        const firstMissingIndex = blockHashes.findIndex(blockHash =>
            (this.recordedAtMs.get(entryKey(serverId, blockHash)) ?? -Infinity) < minRecordedAtMs
        );
        if (blockHashes.length === 0) return 0;
        const matchedLength = (firstMissingIndex < 0 ? blockHashes.length : firstMissingIndex)
            * this.options.blockLength;
        return Math.min(1, matchedLength / prompt.length);
    }

    private evictOldest(): void {
        for (const key of this.recordedAtMs.keys()) {
            if (this.recordedAtMs.size <= this.options.maxEntries) return;
            this.recordedAtMs.delete(key);
        }
    }

    /**
     * Hashes of the whole blocks, each over the prompt up to the end of the block. The last result is cached, because
     * one prompt is matched against many servers in succession.
     */
    private blockHashes(modelId: ModelId, adapterId: AdapterId | undefined, prompt: string): readonly string[] {
        const { blockLength, maxBlocks } = this.options;
        const head = prompt.slice(0, blockLength * maxBlocks);
        const key = `${modelId}\0${adapterId ?? ""}\0${head}`;
        if (this.cached.key !== key) this.cached = { key, hashes: hashBlocks(modelId, adapterId, head, blockLength) };
        return this.cached.hashes;
    }
}

function hashBlocks(
    modelId: ModelId,
    adapterId: AdapterId | undefined,
    head: string,
    blockLength: number,
): string[] {
    const hash = createHash("sha1").update(`${modelId}\0${adapterId ?? ""}\0`);
    const blockHashes: string[] = [];
    for (let end = blockLength; end <= head.length; end += blockLength) {
        hash.update(head.slice(end - blockLength, end));
        // 11 base64 characters hold 66 bits, which makes collisions unlikely.
        blockHashes.push(hash.copy().digest("base64").slice(0, 11));
    }
    return blockHashes;
}

function entryKey(serverId: ServerId, blockHash: string): string {
    return `${blockHash}${serverId}`;
}

/**
 * Checks the options of a prefix affinity and fills in the defaults.
 *
 * @throws InvalidInputError when a value is out of range.
 */
export function resolvePrefixAffinity(options: PrefixAffinityOptions = {}): ResolvedPrefixAffinity {
    return {
        name: options.name ?? "hash",
        blockLength: numberOption("blockLength", options.blockLength, 256, 1),
        maxBlocks: numberOption("maxBlocks", options.maxBlocks, 16, 1),
        maxEntries: numberOption("maxEntries", options.maxEntries, 20_000, 1),
        maxAgeMs: numberOption("maxAgeMs", options.maxAgeMs, 600_000, 0),
    };
}

/**
 * Creates the tracker of prompt prefixes that servers have probably cached.
 *
 * @throws InvalidInputError when a value is out of range.
 * @example
 * const affinity = createPrefixAffinity();
 * affinity.record(serverId, modelId, undefined, prompt, Date.now());
 */
export function createPrefixAffinity(options?: PrefixAffinityOptions): PrefixAffinity {
    const resolved = resolvePrefixAffinity(options);
    return resolved.name === "none" ? new NoAffinity() : new HashAffinity(resolved);
}

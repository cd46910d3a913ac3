import type { AdapterId, ModelId, ServerId } from "@skylarkmill/protocol";
import { createHash } from "node:crypto";
import type { PrefixAffinity } from "../types/policies.ts";
import { numberOption } from "../utils/options.ts";

export interface PrefixAffinityOptions {
    /** @default "hash" */
    readonly name?: "none" | "hash";
    /** Characters per block; a prompt matches in whole blocks. @default 256 */
    readonly blockLength?: number;
    /** Blocks of a prompt that are remembered. @default 16 */
    readonly maxBlocks?: number;
    /** Blocks kept over all servers; the one used least recently is dropped. @default 20000 */
    readonly maxEntries?: number;
    /** Age at which a block counts as evicted from the server's cache. @default 600000 */
    readonly maxAgeMs?: number;
}

export interface ResolvedPrefixAffinity {
    readonly name: "none" | "hash";
    readonly blockLength: number;
    readonly maxBlocks: number;
    readonly maxEntries: number;
    readonly maxAgeMs: number;
}

/** Baseline: no prompt is expected to be cached anywhere. */
export class NoAffinity implements PrefixAffinity {
    record(_serverId: ServerId, _modelId: ModelId, _adapterId: AdapterId | undefined, _prompt: string): void {}

    match(_serverId: ServerId, _modelId: ModelId, _adapterId: AdapterId | undefined, _prompt: string): number {
        return 0;
    }
}

/** Remembers chained hashes of prompt blocks per server, in bounded memory. */
export class HashAffinity implements PrefixAffinity {
    private readonly seenAtMs = new Map<string, number>();
    private hashed: { readonly key: string; readonly blocks: readonly string[]; } = { key: "", blocks: [] };

    constructor(private readonly options: ResolvedPrefixAffinity) {}

    record(
        serverId: ServerId,
        modelId: ModelId,
        adapterId: AdapterId | undefined,
        prompt: string,
        nowMs: number,
    ): void {
        for (const block of this.blocks(modelId, adapterId, prompt)) {
            const key = entryKey(serverId, block);
            this.seenAtMs.delete(key);
            this.seenAtMs.set(key, nowMs);
        }
        this.dropOldest();
    }

    match(
        serverId: ServerId,
        modelId: ModelId,
        adapterId: AdapterId | undefined,
        prompt: string,
        nowMs: number,
    ): number {
        const blocks = this.blocks(modelId, adapterId, prompt);
        const oldestMs = nowMs - this.options.maxAgeMs;
        const missing = blocks.findIndex(block =>
            (this.seenAtMs.get(entryKey(serverId, block)) ?? -Infinity) < oldestMs
        );
        if (blocks.length === 0) return 0;
        const matchedLength = (missing < 0 ? blocks.length : missing) * this.options.blockLength;
        return Math.min(1, matchedLength / prompt.length);
    }

    private dropOldest(): void {
        for (const key of this.seenAtMs.keys()) {
            if (this.seenAtMs.size <= this.options.maxEntries) return;
            this.seenAtMs.delete(key);
        }
    }

    /** Hashes of the whole blocks, each over the prompt up to its end. One prompt is asked of many servers in turn. */
    private blocks(modelId: ModelId, adapterId: AdapterId | undefined, prompt: string): readonly string[] {
        const { blockLength, maxBlocks } = this.options;
        const head = prompt.slice(0, blockLength * maxBlocks);
        const key = `${modelId}\0${adapterId ?? ""}\0${head}`;
        if (this.hashed.key !== key) this.hashed = { key, blocks: hashBlocks(modelId, adapterId, head, blockLength) };
        return this.hashed.blocks;
    }
}

function hashBlocks(modelId: ModelId, adapterId: AdapterId | undefined, head: string, blockLength: number): string[] {
    const hash = createHash("sha1").update(`${modelId}\0${adapterId ?? ""}\0`);
    const blocks: string[] = [];
    for (let end = blockLength; end <= head.length; end += blockLength) {
        hash.update(head.slice(end - blockLength, end));
        blocks.push(hash.copy().digest("base64").slice(0, 11));
    }
    return blocks;
}

function entryKey(serverId: ServerId, block: string): string {
    return `${block}${serverId}`;
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
 * Creates the record of prompt prefixes that are likely cached.
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

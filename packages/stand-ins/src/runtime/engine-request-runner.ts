import type { EngineRequest, ResolvedEngineOptions } from "../types/engine.ts";
import type { EngineFaults } from "./engine-faults.ts";
import type { EngineRepository, RepositoryModel } from "./engine-repository.ts";
import { PrefixCache, SlotQueue } from "./engine-slots.ts";
import type { Journal } from "./journal.ts";

// With shorter timers, the overhead of a timer would exceed the time of the tokens that it simulates.
const MIN_TIMER_MS = 4;
/** Factor on the prefill time of a prompt with a cached prefix. */
const CACHED_PREFILL_FACTOR = 0.1;

/** Sleeps for a time or until the signal aborts; returns whether the signal has aborted. */
function sleepUnlessAborted(ms: number, signal: AbortSignal): Promise<boolean> {
    if (signal.aborted || ms <= 0) return Promise.resolve(signal.aborted);
    return new Promise(resolve => {
        const onAbort = (): void => {
            clearTimeout(timer);
            resolve(true);
        };
        const timer = setTimeout(() => {
            signal.removeEventListener("abort", onAbort);
            resolve(false);
        }, ms);
        signal.addEventListener("abort", onAbort, { once: true });
    });
}

/** Runs requests in the engine's slots with continuous batching. */
export class EngineRequestRunner {
    readonly slots: SlotQueue;
    private readonly options: ResolvedEngineOptions;
    private readonly repository: EngineRepository;
    private readonly journal: Journal;
    private readonly faults: EngineFaults;
    private readonly prefixes = new PrefixCache();

    constructor(options: ResolvedEngineOptions, repository: EngineRepository, journal: Journal, faults: EngineFaults) {
        this.options = options;
        this.repository = repository;
        this.journal = journal;
        this.faults = faults;
        this.slots = new SlotQueue(options.slotCount);
    }

    /** Runs one request; returns whether it was completed, not aborted. */
    async run(
        request: EngineRequest,
        model: RepositoryModel,
        fields: Readonly<Record<string, unknown>>,
        signal: AbortSignal,
        onTokens: (count: number) => void,
    ): Promise<boolean> {
        const removeRunningRequest = this.repository.addRunningRequest(model);
        const releaseSlot = await this.slots.acquire(request.priority, signal);
        if (releaseSlot === undefined) {
            removeRunningRequest();
            this.journal.add("request_cancelled", fields);
            return false;
        }
        this.journal.add("execution_started", fields);
        const isFinished = await this.decode(request, signal, onTokens);
        this.journal.add("execution_finished", { ...fields, outcome: isFinished ? "complete" : "cancelled" });
        releaseSlot();
        removeRunningRequest();
        return isFinished;
    }

    private async decode(
        request: EngineRequest,
        signal: AbortSignal,
        onTokens: (count: number) => void,
    ): Promise<boolean> {
        const isCached = this.prefixes.recordPrefix(request.requestedModelName, request.prompt);
        const prefillMs = this.options.prefillMs * (isCached ? CACHED_PREFILL_FACTOR : 1) * this.faults.slowFactor;
        if (await sleepUnlessAborted(prefillMs + this.faults.delayMs, signal)) return false;
        let decodedCount = 0;
        let tokenCredit = 1;
        while (decodedCount < request.tokenCount) {
            const count = Math.min(request.tokenCount - decodedCount, Math.floor(tokenCredit));
            decodedCount += count;
            tokenCredit -= count;
            if (count > 0) onTokens(count);
            if (decodedCount >= request.tokenCount) break;
            const tokenMs = (1000 / this.options.tokensPerSecond) * this.faults.slowFactor;
            const startMs = performance.now();
            if (await sleepUnlessAborted(Math.max(MIN_TIMER_MS, tokenMs), signal)) return false;
            tokenCredit += (performance.now() - startMs) / tokenMs;
        }
        return true;
    }
}

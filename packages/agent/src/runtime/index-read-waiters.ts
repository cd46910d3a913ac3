import type { EngineError } from "@skylarkmill/adapters";
import { UnavailableError } from "@skylarkmill/protocol";
import { err, type Result } from "neverthrow";

export type ResolveIndexRead = (result: Result<void, EngineError>) => void;

interface IndexReadWaiter {
    readonly sequence: number;
    readonly resolve: ResolveIndexRead;
}

/** Callers that wait for the result of an index read that started at or after their call. */
export class IndexReadWaiters {
    private waiters: IndexReadWaiter[] = [];

    add(sequence: number, resolve: ResolveIndexRead): void {
        this.waiters.push({ sequence, resolve });
    }

    /** Resolves the callers that waited for the read with this sequence number or an earlier one. */
    resolveUpTo(sequence: number, result: Result<void, EngineError>): void {
        for (const waiter of this.waiters) if (waiter.sequence <= sequence) waiter.resolve(result);
        this.waiters = this.waiters.filter(waiter => waiter.sequence > sequence);
    }

    stop(): void {
        this.resolveUpTo(Infinity, err(createAgentStoppedError()));
    }
}

export function createAgentStoppedError(): UnavailableError {
    return new UnavailableError("The agent has stopped.", { step: "engine.index", peer: "local" });
}

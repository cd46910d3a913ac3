import type { ResponseHead, Route } from "@skylarkmill/gateway";
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { seeded } from "../support/seed.ts";
import { type CallerOutcome, type StartedRequest, startRequest } from "./support/started-request.ts";

const PROMISE_STATUSES = [408, 421, 429, 503];
const DEADLINE_MS = 30_000;

const HEAD: ResponseHead = {
    status: 200,
    isMarkedNotRun: false,
    namesRequest: true,
    isSigned: true,
    weightVersion: undefined,
    load: undefined,
    isFramed: true,
    statedByteCount: 0,
    headers: ["content-type", "text/event-stream"],
};

/** What happens next to a request: at the server of its newest attempt, or around it. */
type Step =
    | { readonly kind: "response"; readonly head: ResponseHead; readonly ending: "complete" | "cut" | "none"; }
    | { readonly kind: "event"; }
    | { readonly kind: "failure"; readonly wasSent: boolean; }
    | { readonly kind: "time"; readonly durationMs: number; }
    | { readonly kind: "servers"; readonly arePresent: boolean; }
    | { readonly kind: "stop"; readonly isEnd: boolean; };

const ROUTES: Readonly<Record<string, Partial<Route>>> = {
    "once": { kind: "non_idempotent", maxAttempts: 1 },
    "repeatable": { kind: "idempotent", maxAttempts: 3 },
    "stream that can't be resumed": { kind: "streaming", isResumable: false, maxAttempts: 1 },
    "stream that can be resumed": { kind: "streaming", isResumable: true, maxAttempts: 3 },
};

const head: fc.Arbitrary<ResponseHead> = fc.record({
    status: fc.constantFrom(200, 404, 408, 421, 429, 500, 503),
    isMarkedNotRun: fc.boolean(),
    namesRequest: fc.boolean(),
    isSigned: fc.boolean(),
    isFramed: fc.boolean(),
    statedByteCount: fc.constantFrom(0, 40_000),
}).map(fields => ({ ...HEAD, ...fields }));

const step: fc.Arbitrary<Step> = fc.oneof(
    fc.record({
        kind: fc.constant("response" as const),
        head,
        ending: fc.constantFrom("complete" as const, "cut" as const, "none" as const),
    }),
    fc.record({ kind: fc.constant("event" as const) }),
    fc.record({ kind: fc.constant("failure" as const), wasSent: fc.boolean() }),
    fc.record({ kind: fc.constant("time" as const), durationMs: fc.constantFrom(1, 500, 2_000, DEADLINE_MS) }),
    fc.record({ kind: fc.constant("servers" as const), arePresent: fc.boolean() }),
    fc.record({ kind: fc.constant("stop" as const), isEnd: fc.boolean() }),
);

/** Replays steps on one request and tells after which of its attempts it may have run. */
class Replay {
    private readonly started: StartedRequest;
    /** Attempts that certainly didn't run the request. */
    private readonly notRun = new Set<number>();
    private readonly ended = new Set<number>();
    private eventId = 0;

    constructor(route: Partial<Route>, retrySlack: number) {
        this.started = startRequest({ ...route, timeoutMs: DEADLINE_MS }, { retrySlack });
    }

    get outcomes(): readonly CallerOutcome[] {
        return this.started.outcomes;
    }

    get givenBackCount(): number {
        return this.started.countGivenBack();
    }

    /** Number of attempts that may have run the request; one without an end may be running. */
    get possibleRunCount(): number {
        return this.started.sent.length - this.notRun.size;
    }

    async apply(next: Step): Promise<void> {
        const { task } = this.started;
        switch (next.kind) {
            case "response":
                return this.respond(next.head, next.ending);
            case "event":
                return this.sendEvent();
            case "failure":
                return this.end(next.wasSent, listener => listener.onFailure(new Error("reset"), next.wasSent));
            case "time":
                return void await vi.advanceTimersByTimeAsync(next.durationMs);
            case "servers":
                return next.arePresent ? this.started.addServers() : this.started.removeServers();
            case "stop":
                return void (next.isEnd ? task.endNow() : task.refuseIfWaiting());
        }
    }

    private respond(response: ResponseHead, ending: "complete" | "cut" | "none"): void {
        const isNotRun = response.isMarkedNotRun && response.namesRequest;
        if (ending === "none" && !isNotRun) return this.newest?.listener.onHead(response);
        this.end(!isNotRun, listener => {
            listener.onHead(response);
            if (ending === "complete") listener.onEnd();
            else listener.onFailure(new Error("cut"), true);
        });
    }

    private sendEvent(): void {
        this.eventId += 1;
        this.newest?.listener.onData(Buffer.from(`id: ${this.eventId}\ndata: a\n\n`));
    }

    private end(mayHaveRun: boolean, run: (listener: StartedRequest["sent"][number]) => void): void {
        const { newest } = this;
        if (newest === undefined) return;
        this.ended.add(newest.index);
        if (!mayHaveRun) this.notRun.add(newest.index);
        run(newest.listener);
    }

    private get newest(): { readonly index: number; readonly listener: StartedRequest["sent"][number]; } | undefined {
        const index = this.started.sent.length - 1;
        return index < 0 || this.ended.has(index) ? undefined : { index, listener: this.started.sent[index]! };
    }
}

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

// Guards against a promise, of a server or of the gateway itself, after an attempt that may have run the request.
describe("whatever happens to a request", () => {
    it.each(Object.keys(ROUTES))("is said to have not run only if it hasn't: %s", async name => {
        const isOnce = ROUTES[name]!.maxAttempts === 1;
        const property = fc.asyncProperty(
            fc.array(step, { maxLength: 12 }),
            fc.constantFrom(0, 50),
            async (steps, retrySlack) => {
                const replay = new Replay(ROUTES[name]!, retrySlack);
                for (const next of [...steps, { kind: "time", durationMs: 2 * DEADLINE_MS } as const]) {
                    const hadOutcome = replay.outcomes.length > 0;
                    await replay.apply(next);
                    if (!hadOutcome && replay.outcomes.length > 0) checkOutcome(replay, isOnce);
                }
                const ends = replay.outcomes.filter(({ kind }) => kind !== "aborted");
                expect(ends.length).toBeLessThanOrEqual(1);
                expect(replay.outcomes.length).toBeGreaterThan(0);
                if (isOnce) expect(replay.possibleRunCount).toBeLessThanOrEqual(1);
                if (replay.possibleRunCount > 0) expect(replay.givenBackCount).toBe(0);
            },
        );
        await fc.assert(property, seeded(1_500));
    });
});

function checkOutcome({ outcomes, possibleRunCount }: Replay, isOnce: boolean): void {
    const [outcome] = outcomes;
    if (possibleRunCount === 0) return;
    if (outcome?.kind === "refused") {
        expect(PROMISE_STATUSES).not.toContain(outcome.refusal.status);
        expect(outcome.refusal.execution).toBe("unknown");
        expect(outcome.refusal.retryAfterMs).toBeUndefined();
    }
    if (outcome?.kind === "relayed" && isOnce) expect(PROMISE_STATUSES).not.toContain(outcome.status);
}

import { silentLogger } from "@skylarkmill/coordination";
import {
    Attempt,
    type AttemptListener,
    ByteBudget,
    CrashSuspects,
    type EngineClient,
    type EngineExchange,
    MAX_ROOM_WAITERS,
    type ResponseHead,
    type ResponseListener,
    type ServerState,
} from "@skylarkmill/gateway";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createIdleExchange } from "./support/idle-exchange.ts";

const SILENCE_MS = 500;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const HEAD: ResponseHead = {
    status: 200,
    isMarkedNotRun: false,
    namesRequest: true,
    isSigned: true,
    weightVersion: undefined,
    load: undefined,
    isFramed: true,
    statedByteCount: 0,
    headers: [],
};

function createEngineClient(send: (listener: ResponseListener) => EngineExchange): EngineClient {
    return {
        onNotice: undefined as never,
        sendRequest: (_call, listener) => send(listener),
        sendOrder: undefined as never,
        readReport: undefined as never,
    };
}

function createAttempt(
    listener: Partial<AttemptListener>,
    { isStream = true, budget = new ByteBudget(1_000) } = {},
): Attempt {
    const server = {
        beginAttempt: () => undefined,
        endAttempt: () => undefined,
        recordReachable: () => undefined,
        recordOutcome: () => undefined,
        placeLimit: { recordResponse: () => undefined, recordEnd: () => undefined },
        record: { serverId: "s1" },
    } as unknown as ServerState;
    const call = { request: { sharedPromptParts: [], modelId: undefined, method: "GET" } } as never;
    const suspects = new CrashSuspects({ logger: silentLogger, onChange: () => undefined });
    return new Attempt(server, call, { isStream, isRetryable: true }, budget, suspects, listener as AttemptListener);
}

// Guards against sound streams that are given up as silent because the gateway doesn't read them for a while.
describe("a response that waits for its turn to be read", () => {
    it("isn't taken for a silent one until it is read again", async () => {
        const exchange = { ...createIdleExchange(), isHeld: true };
        const onSilence = vi.fn();
        const attempt = createAttempt({ onSilence });
        attempt.start(createEngineClient(() => exchange));
        attempt.restartSilenceTimer(SILENCE_MS);
        await vi.advanceTimersByTimeAsync(10 * SILENCE_MS);
        expect(onSilence).not.toHaveBeenCalled();
        exchange.isHeld = false;
        exchange.releasedAtMs = performance.now();
        await vi.advanceTimersByTimeAsync(SILENCE_MS);
        expect(onSilence).toHaveBeenCalledTimes(1);
    });

    // What has arrived is read only after the timers of the same turn of the event loop.
    it("isn't taken for a silent one as soon as it is read again", async () => {
        const exchange = { ...createIdleExchange(), isHeld: true };
        const onSilence = vi.fn();
        const attempt = createAttempt({ onSilence });
        attempt.start(createEngineClient(() => exchange));
        attempt.restartSilenceTimer(SILENCE_MS);
        await vi.advanceTimersByTimeAsync(SILENCE_MS - 1);
        exchange.isHeld = false;
        exchange.releasedAtMs = performance.now();
        await vi.advanceTimersByTimeAsync(SILENCE_MS - 1);
        expect(onSilence).not.toHaveBeenCalled();
    });
});

/** A response that a server sends to an attempt. */
class SentResponse {
    readonly pause = vi.fn();
    readonly resume = vi.fn();
    readonly onRoomWait = vi.fn();
    readonly onFailed = vi.fn();
    readonly onResponse = vi.fn();
    readonly attempt: Attempt;
    private listener: ResponseListener | undefined;

    constructor(budget: ByteBudget) {
        const { onRoomWait, onFailed, onResponse } = this;
        this.attempt = createAttempt({ onRoomWait, onFailed, onResponse }, { isStream: false, budget });
        const exchange = { ...createIdleExchange(), pause: this.pause, resume: this.resume };
        this.attempt.start(createEngineClient(listener => {
            this.listener = listener;
            return exchange;
        }));
    }

    begin(statedByteCount: number): void {
        this.listener!.onHead({ ...HEAD, statedByteCount });
    }

    receive(byteCount: number): void {
        this.listener!.onData(Buffer.alloc(byteCount));
    }

    complete(byteCount: number): void {
        this.receive(byteCount);
        this.listener!.onEnd();
    }
}

// Guards against responses that have run and are lost because others take the memory for a moment.
describe("a response that finds no room", () => {
    const SIZE = 40_000;

    it("waits for it in the order of the responses, and reserves it", async () => {
        const budget = new ByteBudget(100_000);
        const responses = Array.from({ length: 4 }, () => new SentResponse(budget));
        for (const response of responses) response.begin(SIZE);
        expect(responses.map(({ pause }) => pause.mock.calls.length)).toEqual([0, 0, 1, 1]);
        expect(responses.map(({ onRoomWait }) => onRoomWait.mock.calls.length)).toEqual([0, 0, 1, 1]);
        responses[0]!.complete(SIZE);
        await vi.advanceTimersByTimeAsync(1);
        expect(responses.map(({ resume }) => resume.mock.calls.length)).toEqual([0, 0, 1, 0]);
        expect(budget.byteCount).toBe(2 * SIZE);
        responses[2]!.complete(SIZE);
        expect(responses[2]!.onResponse).toHaveBeenCalledTimes(1);
        await vi.advanceTimersByTimeAsync(1);
        expect(responses[3]!.resume).toHaveBeenCalledTimes(1);
    });

    it("isn't overtaken by a later one that would fit", async () => {
        const budget = new ByteBudget(100_000);
        const responses = Array.from({ length: 3 }, () => new SentResponse(budget));
        const [first, second, third] = responses;
        first!.begin(60_000);
        second!.begin(60_000);
        third!.begin(SIZE);
        expect(responses.map(({ pause }) => pause.mock.calls.length)).toEqual([0, 1, 1]);
        first!.complete(60_000);
        await vi.advanceTimersByTimeAsync(1);
        expect(responses.map(({ resume }) => resume.mock.calls.length)).toEqual([0, 1, 1]);
    });

    it("isn't starved by bodies of requests that take what is released", async () => {
        const budget = new ByteBudget(100_000);
        budget.reserve(100_000);
        const response = new SentResponse(budget);
        response.begin(SIZE);
        for (let count = 0; count < 2; count += 1) {
            budget.release(20_000);
            await vi.advanceTimersByTimeAsync(50);
            expect(budget.tryReserve(20_000)).toBe(false);
        }
        expect(response.resume).toHaveBeenCalledTimes(1);
    });

    it("doesn't keep one of unknown length, which has begun, from its memory", () => {
        const budget = new ByteBudget(100_000);
        const [begun, first, waiting] = Array.from({ length: 3 }, () => new SentResponse(budget));
        begun!.begin(0);
        begun!.receive(20_000);
        first!.begin(60_000);
        waiting!.begin(SIZE);
        expect(budget.waiterCount).toBe(1);
        begun!.receive(10_000);
        expect(begun!.onFailed).not.toHaveBeenCalled();
    });

    it("leaves the line when it is cancelled", async () => {
        const budget = new ByteBudget(50_000);
        const responses = Array.from({ length: 3 }, () => new SentResponse(budget));
        for (const response of responses) response.begin(SIZE);
        responses[1]!.attempt.cancel();
        responses[0]!.complete(SIZE);
        await vi.advanceTimersByTimeAsync(1);
        expect(responses.map(({ resume }) => resume.mock.calls.length)).toEqual([0, 0, 1]);
        responses[2]!.attempt.cancel();
        expect([budget.byteCount, budget.waiterCount]).toEqual([0, 0]);
        await vi.advanceTimersByTimeAsync(1);
        expect(vi.getTimerCount()).toBe(0);
    });

    it("takes what a response releases only if that doesn't reserve it again", async () => {
        const budget = new ByteBudget(50_000);
        const [first, second] = [new SentResponse(budget), new SentResponse(budget)];
        first.onResponse.mockImplementation(() => budget.reserve(SIZE));
        first.begin(SIZE);
        second.begin(SIZE);
        first.complete(SIZE);
        await vi.advanceTimersByTimeAsync(1_000);
        expect(second.resume).not.toHaveBeenCalled();
        budget.release(SIZE);
        await vi.advanceTimersByTimeAsync(1);
        expect(second.resume).toHaveBeenCalledTimes(1);
    });

    it("gets what is reclaimed later from callers that stop reading", async () => {
        const budget = new ByteBudget(50_000);
        budget.reserve(SIZE);
        let canReclaim = false;
        budget.onShort(() => {
            if (canReclaim) budget.release(SIZE);
            canReclaim = false;
        });
        const response = new SentResponse(budget);
        response.begin(SIZE);
        canReclaim = true;
        await vi.advanceTimersByTimeAsync(1_000);
        expect(response.resume).toHaveBeenCalledTimes(1);
        expect(budget.byteCount).toBe(SIZE);
    });

    // Each response that waits keeps what one read of its connection brought.
    it("fails at once if too many wait already", () => {
        const budget = new ByteBudget(100_000);
        budget.reserve(100_000);
        const responses = Array.from({ length: MAX_ROOM_WAITERS + 1 }, () => new SentResponse(budget));
        for (const response of responses) response.begin(SIZE);
        expect(budget.waiterCount).toBe(MAX_ROOM_WAITERS);
        expect(responses.map(({ onFailed }) => onFailed.mock.calls.length).indexOf(1)).toBe(MAX_ROOM_WAITERS);
    });

    it.each([
        { name: "all of it", byteCount: 60_000 },
        { name: "its size", byteCount: 17 * 1024 * 1024 },
    ])("fails at once if the memory is too small for $name", ({ byteCount }) => {
        const response = new SentResponse(new ByteBudget(50_000));
        response.begin(byteCount);
        expect(response.onFailed).toHaveBeenCalledTimes(1);
    });
});

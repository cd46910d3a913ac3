import { RequestBody, type ResponseHead } from "@skylarkmill/gateway";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { startRequest } from "./support/started-request.ts";

const BUDGET_BYTES = 100_000;
/** Time without an event after which a gateway searches for another server. */
const PAUSE_TIMEOUT_MS = 900;

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

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

// Guards against requests that are lost, although they could be repeated, since their responses waited for a while.
describe("a request whose connection breaks while its response waits for room", () => {
    it.each([
        { name: "takes memory of its own", byteCount: 1_000, sentCount: 2 },
        { name: "takes the memory that responses wait for", byteCount: 20_000, sentCount: 1 },
    ])("is repeated unless its body was given up: its body $name", ({ byteCount, sentCount }) => {
        const { task, sent, byteBudget } = startRequest({}, {
            body: new RequestBody([], byteCount, () => undefined),
            budgetBytes: BUDGET_BYTES,
        });
        byteBudget.reserve(BUDGET_BYTES);
        sent[0]!.onHead({ ...HEAD, statedByteCount: 40_000 });
        expect(byteBudget.waiterCount).toBe(1);
        sent[0]!.onFailure(new Error("the connection closed within the response"), true);
        expect(sent.length).toBe(sentCount);
        task.endNow();
    });
});

// Guards against responses that wait for room although the request can be run again at once.
describe("an error that finds no room", () => {
    it("is followed by another attempt", () => {
        const { task, sent, byteBudget } = startRequest({}, {
            body: new RequestBody([], 20_000, () => undefined),
            budgetBytes: BUDGET_BYTES,
        });
        byteBudget.reserve(BUDGET_BYTES);
        sent[0]!.onHead({ ...HEAD, status: 503, statedByteCount: 40_000 });
        expect([byteBudget.waiterCount, sent.length]).toEqual([0, 2]);
        task.endNow();
    });
});

// Guards against requests that run again and again since their callers read slowly.
describe("a stream whose caller doesn't read for a while", () => {
    it("isn't taken for a silent one until it is read again and sends nothing", async () => {
        const { task, sent, drain } = startRequest({ kind: "streaming", isResumable: true });
        sent[0]!.onHead(HEAD);
        sent[0]!.onData(Buffer.from("id: 1\ndata: a\n\n"));
        await vi.advanceTimersByTimeAsync(20_000);
        expect(sent.length).toBe(1);
        drain();
        await vi.advanceTimersByTimeAsync(PAUSE_TIMEOUT_MS - 1);
        expect(sent.length).toBe(1);
        await vi.advanceTimersByTimeAsync(2);
        expect(sent.length).toBe(2);
        task.endNow();
    });
});

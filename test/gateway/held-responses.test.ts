import { silentLogger } from "@skylarkmill/coordination";
import { Attempt, type AttemptListener, ByteBudget, CrashSuspects, type ServerState } from "@skylarkmill/gateway";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createIdleExchange } from "./support/idle-exchange.ts";

const SILENCE_MS = 500;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

// Guards against sound streams that are given up as silent because the gateway doesn't read them for a while.
describe("a response that waits for its turn to be read", () => {
    it("isn't taken for a silent one until it is read again", async () => {
        const exchange = { ...createIdleExchange(), isHeld: true };
        const onSilence = vi.fn();
        const attempt = createAttempt({ onSilence });
        attempt.start({
            onNotice: undefined as never,
            sendRequest: () => exchange,
            sendOrder: undefined as never,
            readReport: undefined as never,
        });
        attempt.restartSilenceTimer(SILENCE_MS);
        await vi.advanceTimersByTimeAsync(10 * SILENCE_MS);
        expect(onSilence).not.toHaveBeenCalled();
        exchange.isHeld = false;
        await vi.advanceTimersByTimeAsync(SILENCE_MS);
        expect(onSilence).toHaveBeenCalledTimes(1);
    });
});

function createAttempt(listener: Partial<AttemptListener>): Attempt {
    const server = { beginAttempt: () => undefined, record: { serverId: "s1" } } as unknown as ServerState;
    const call = { request: { sharedPromptParts: [], modelId: undefined } } as never;
    return new Attempt(
        server,
        call,
        true,
        new ByteBudget(1_000),
        new CrashSuspects({ logger: silentLogger, onChange: () => undefined }),
        listener as AttemptListener,
    );
}

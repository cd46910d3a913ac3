import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { runUntilSignal } from "../../packages/skylarkmill/src/node/run-until-signal.ts";

const SIGNALS = ["SIGTERM", "SIGINT"] as const;

let before: Map<NodeJS.Signals, readonly NodeJS.SignalsListener[]>;

function countNewListeners(signal: NodeJS.Signals): number {
    return process.listeners(signal).length - before.get(signal)!.length;
}

beforeEach(() => {
    before = new Map(SIGNALS.map(signal => [signal, process.listeners(signal)]));
});

afterEach(() => {
    for (const signal of SIGNALS) {
        for (const listener of process.listeners(signal)) {
            if (!before.get(signal)!.includes(listener)) process.off(signal, listener);
        }
    }
});

// Guards against a process that a second SIGTERM ends in the middle of its requests: the first one removed the listener
// before it added another, and a signal without a listener ends a process.
describe("a process that is told to stop", () => {
    it.each(SIGNALS)("has a listener of each signal at any time after %s", async signal => {
        const counts: number[] = [];
        const recordCount = (name: string | symbol): void => {
            if (SIGNALS.includes(name as typeof signal)) counts.push(countNewListeners(name as NodeJS.Signals));
        };
        process.on("removeListener", recordCount);
        let finishStop: () => void = () => undefined;
        const exitCode = runUntilSignal(() =>
            new Promise(resolve => {
                finishStop = resolve;
            })
        );
        process.emit(signal);
        process.emit("SIGTERM");
        for (const name of SIGNALS) counts.push(countNewListeners(name));
        await new Promise(resolve => setImmediate(resolve));
        finishStop();
        expect(await exitCode).toBe(0);
        process.off("removeListener", recordCount);
        expect(Math.min(...counts)).toBe(1);
    });
});

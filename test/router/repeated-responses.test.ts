import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type RepeatingServer, startRepeatingServer } from "../support/repeating-server.ts";
import { Harness } from "./support/harness.ts";

const REQUEST_COUNT = 4;
const LEDGERS = ["ledger-1", "ledger-2"];

let harness: Harness;
let ledgers: RepeatingServer[];

/** An agent that refuses requests whose path says so, and runs the others. */
function startLedger(): Promise<RepeatingServer> {
    return startRepeatingServer({
        respond: ({ path, headers }) => {
            const isRefused = path.endsWith("/refused");
            const error = { type: "overloaded_error", code: "queue_full", message: "full", execution: "not_run" };
            return {
                status: isRefused ? 503 : 200,
                headers: {
                    "x-skylarkmill-execution": isRefused ? "not_run" : "run",
                    "x-skylarkmill-attempt-id": headers["x-skylarkmill-attempt-id"]!,
                },
                body: JSON.stringify(isRefused ? { error } : { answerTo: path }),
            };
        },
    });
}

beforeEach(async () => {
    ledgers = [await startLedger(), await startLedger()];
    harness = await new Harness().start();
    harness.membership.entries = harness.membership.entries.map(entry => {
        const ledger = ledgers[LEDGERS.indexOf(String(entry.serverId))];
        return ledger === undefined ? entry : { ...entry, requestPort: Number(new URL(ledger.url).port) };
    });
    harness.membership.setState("ledger-1", "live");
});

afterEach(async () => {
    await harness.stop();
    for (const ledger of ledgers) await ledger.close();
});

function countRuns(path: string): number {
    return ledgers.flatMap(ledger => ledger.journal)
        .filter(({ request, response }) => request.path.endsWith(path) && response.status === 200).length;
}

// Guards against an order that ran and is reported as not run, or runs at a second server, and against a caller that gets
// another caller's answer, because an agent's earlier response came once more on a kept connection.
describe("an agent's response that is sent once more on a kept connection", () => {
    it.each([{ name: "a refusal", hasRefusals: true }, { name: "an answer", hasRefusals: false }])(
        "decides no other order: $name",
        async ({ hasRefusals }) => {
            const results: object[] = [];
            for (let index = 0; index < REQUEST_COUNT; index += 1) {
                if (hasRefusals) await harness.send("POST", "/services/parts-ledger/refused", "{}");
                const path = `/orders/${index}`;
                const { status, json, text } = await harness.send("POST", `/services/parts-ledger${path}`, "{}");
                const runCount = countRuns(path);
                results.push({
                    isNotRun: json.error?.execution === "not_run" && runCount > 0,
                    runsTwice: runCount > 1,
                    isOtherAnswer: status === 200 && !text.includes(path),
                });
            }
            const correct = { isNotRun: false, runsTwice: false, isOtherAnswer: false };
            expect(results).toEqual(results.map(() => correct));
            expect(ledgers.some(({ connectionCount, journal }) => connectionCount < journal.length)).toBe(true);
        },
    );
});

import fc from "fast-check";
import type { ServerResponse } from "node:http";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
    type AgentBehaviour,
    breakConnection,
    refuseWith,
    respondWithJson,
    respondWithStream,
} from "./support/fake-agent.ts";
import { Harness } from "./support/harness.ts";

const SEED = 20_261_204;

function breakAfter(contentType: string, part: string, length?: number): AgentBehaviour {
    return (_entry, response: ServerResponse) => {
        response.writeHead(200, {
            "content-type": contentType,
            ...(length === undefined ? {} : { "content-length": String(length) }),
        });
        response.write(part, () => response.destroy());
    };
}

const respond: AgentBehaviour = (entry, response) =>
    entry.body.includes('"stream":true') ? respondWithStream(entry, response) : respondWithJson(entry, response);

/** Possible behaviours of an agent; in all but `refused` and `unavailable`, the attempt may have run. */
const BEHAVIOURS = {
    answered: respond,
    refused: refuseWith(503, "queue_full", "not_run"),
    unavailable: refuseWith(503, "backend_unavailable", "not_run", "unavailable_error"),
    failed: refuseWith(502, "backend_failed", "unknown"),
    broken: breakConnection,
    silent: () => undefined,
    cutShort: breakAfter("application/json", '{"id":', 50),
    streamCut: breakAfter("text/event-stream", 'data: {"n":0}\n\n'),
} satisfies Record<string, AgentBehaviour>;
type BehaviourName = keyof typeof BEHAVIOURS;
const NOT_RUN: readonly BehaviourName[] = ["refused", "unavailable"];

const REQUESTS = [
    { method: "POST", path: "/v1/chat/completions", isIdempotent: true },
    { method: "POST", path: "/v1/completions", isIdempotent: false },
    { method: "POST", path: "/services/parts-ledger/orders", isIdempotent: false },
    { method: "PUT", path: "/services/parts-ledger/stock/1", isIdempotent: true },
] as const;

// Guards against requests that run twice, responses of other requests, truncated responses that look complete,
// and `not_run` refusals of requests that may have run, under random sequences of agents' faults.
describe("requests under faults", () => {
    let harness: Harness;
    let count = 0;
    const behavioursByRequest = new Map<string, BehaviourName[]>();
    const refusedAsNotRun: string[] = [];
    let behaviourSequence: readonly BehaviourName[] = [];
    let nextBehaviourIndex = 0;

    beforeAll(async () => {
        harness = await new Harness().start({ limits: { serverWaitMs: 60 } }, (entry, response, index) => {
            const name = behaviourSequence[nextBehaviourIndex++ % behaviourSequence.length]!;
            behavioursByRequest.get(String(entry.headers["x-request-id"]))!.push(name);
            BEHAVIOURS[name](entry, response, index);
        });
    });
    afterAll(() => harness.stop());

    async function sendAndCheck(request: typeof REQUESTS[number], stream: boolean): Promise<void> {
        const requestId = `r${count++}`;
        behavioursByRequest.set(requestId, []);
        const body = JSON.stringify({ model: "bench-diagnosis", stream, requestId });
        const headers = { "x-request-id": requestId, "x-request-timeout-ms": "200" };
        const response = await harness.send(request.method, request.path, body, headers).catch(() => undefined);
        const attempts = behavioursByRequest.get(requestId)!;
        const behavioursThatMayHaveRun = attempts.filter(name => !NOT_RUN.includes(name));
        if (!request.isIdempotent) expect(behavioursThatMayHaveRun.length).toBeLessThanOrEqual(1);
        if (response === undefined) expect(behavioursThatMayHaveRun).not.toHaveLength(0);
        else if (response.status !== 200) {
            const { execution, code } = response.json.error;
            if (execution === "not_run") refusedAsNotRun.push(requestId);
            // At the deadline an attempt may be on its way to the agent, which has not recorded it yet.
            else if (code !== "deadline_exceeded") expect(behavioursThatMayHaveRun).not.toHaveLength(0);
        }
        else if (response.headers["content-type"] === "text/event-stream") {
            const isComplete = response.text.endsWith("data: [DONE]\n\n")
                && response.text.match(/data: \{"n"/g)?.length === 3;
            expect(isComplete || response.text.includes('{"error"') || request.path.startsWith("/services")).toBe(true);
        }
        else expect((JSON.parse(response.text) as { echo: string; }).echo).toBe(body);
    }

    it("end with their own complete response or a correct refusal", async () => {
        const names = fc.constantFrom(...Object.keys(BEHAVIOURS) as BehaviourName[]);
        const requests = fc.array(fc.tuple(fc.constantFrom(...REQUESTS), fc.boolean()), { minLength: 1, maxLength: 8 });
        const property = fc.asyncProperty(
            fc.array(names, { minLength: 1, maxLength: 12 }),
            requests,
            async (behaviours, requestsToSend) => {
                behaviourSequence = behaviours;
                nextBehaviourIndex = 0;
                await Promise.all(requestsToSend.map(([request, stream]) => sendAndCheck(request, stream)));
            },
        );
        await fc.assert(property, { seed: SEED, numRuns: 60 });
        // Checked at the end, so that a request that ran after its refusal is detected too.
        expect(refusedAsNotRun.length).toBeGreaterThan(0);
        for (const requestId of refusedAsNotRun) {
            expect(behavioursByRequest.get(requestId)!.filter(name => !NOT_RUN.includes(name))).toEqual([]);
        }
        const metrics = (await harness.send("GET", "/metrics")).text;
        expect(metrics).toMatch(/^skylarkmill_router_chart_faults_total 0$/m);
    });
});

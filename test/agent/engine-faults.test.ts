import { createBackendClient, createTritonEngineControl } from "@skylarkmill/adapters";
import { KEYS } from "@skylarkmill/config";
import { HEADERS } from "@skylarkmill/protocol";
import { createEngineStandIn, type EngineFaults, type EngineStandIn } from "@skylarkmill/stand-ins";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { grant, modelSection, putGrants, putRecord, TestAgent, waitUntil } from "./fakes/setup.ts";

const MODELS = ["m1", "m2", "m3"];
const RESPONSE_TOKEN_COUNT = 12;

/** The response text of the stand-in engine, without the model name, for a request with this last message. */
function expectedText(text: string): string {
    return [`answers: ${text}`, ...Array.from({ length: RESPONSE_TOKEN_COUNT - 1 }, (_, index) => ` t${index + 1}`)]
        .join("");
}

describe.each([{ checksFencing: true }, { checksFencing: false }])(
    "an agent with a faulty engine, fencing: $checksFencing",
    ({ checksFencing }) => {
        let engine: EngineStandIn;
        let testAgent: TestAgent;
        let close: () => Promise<unknown>;

        beforeEach(async () => {
            engine = await createEngineStandIn({
                listen: { host: "127.0.0.1", port: 0 },
                memorySizeBytes: 100,
                loadMs: { memory: 5, disk: 20, remote: 20 },
                unloadMs: 5,
                tokensPerSecond: 2000,
                checksFencing,
            });
            const control = createTritonEngineControl({ baseUrl: engine.url });
            const backend = createBackendClient({ baseUrl: engine.url });
            testAgent = new TestAgent();
            const section = modelSection(Object.fromEntries(MODELS.map(model => [model, { memoryBytes: 45 }])));
            const service = Object.values(section.services)[0] as { checksFencing: boolean; };
            service.checksFencing = checksFencing;
            await putRecord(testAgent.store, KEYS.config("models"), 1, section);
            for (const model of MODELS) await putGrants(testAgent.store, model, 1, [grant("server-1")]);
            const permits = { acquire: async () => ({ source: "share" as const, release: () => undefined }) };
            const limits = { orderEffectTimeoutMs: 200, indexIntervalMs: 200 };
            await testAgent.start("assistant", { engineControl: control, backend, permits, limits });
            await testAgent.untilAcceptingLoads();
            close = async () => {
                await testAgent.stop();
                await Promise.all([control.close(), backend.close()]);
                await engine.close();
            };
        });

        afterEach(() => close());

        function sendChat(model: string, stream: boolean, text: string): Promise<Response> {
            const messages = [{ role: "user", content: text }];
            const body = JSON.stringify({ model, stream, max_tokens: RESPONSE_TOKEN_COUNT, messages });
            return testAgent.request({ [HEADERS.model]: model, [HEADERS.remainingMs]: "8000" }, { body });
        }

        /** Returns the text of a response without the model name, with which the stand-in engine begins it. */
        async function readText(response: Response): Promise<string> {
            const text = await response.text();
            const parts = [...text.matchAll(/"content":"([^"]*)"/g)].map(match => match[1]!);
            return parts.join("").replace(/^\S+ /, "");
        }

        // Guards against mixed or truncated responses and failed requests when the engine's stream has faults.
        const streamFaults: Partial<EngineFaults>[] = [
            { crossed: 3 },
            { duplicated: 3 },
            { skipped: 2 },
            { truncated: 2 },
            { unfinished: 2 },
        ];
        it.each(streamFaults)("relays a complete stream despite the engine fault %j", async faults => {
            engine.setFaults(faults);
            const response = await sendChat("m1", true, "wheel");
            const text = await response.clone().text();
            expect(await readText(response)).toBe(expectedText("wheel"));
            expect(text).toContain("[DONE]");
            expect(text).not.toContain("FOREIGN");
        });

        // Guards against relaying a non-streamed response that belongs to another request or is truncated.
        it.each([{ misaddressed: 1 }, { truncated: 1 }])(
            "reports an unknown outcome for a non-streamed response with the engine fault %j",
            async faults => {
                await sendChat("m1", false, "first");
                engine.setFaults(faults);
                const response = await sendChat("m1", false, "chain");
                expect(response.status).toBe(502);
                expect(response.headers.get(HEADERS.execution)).toBe("unknown");
            },
        );

        // Guards against a crash of the agent, or a relayed 404, when the engine no longer has a model loaded.
        it("reports not_run when the engine no longer has the model loaded, and loads it again", async () => {
            await sendChat("m1", false, "first");
            await fetch(`${engine.url}/v2/repository/models/m1/unload`, { method: "POST", body: "{}" });
            const responses = await Promise.all(MODELS.map(() => sendChat("m1", false, "chain")));
            for (const response of responses) {
                const execution = response.headers.get(HEADERS.execution);
                expect([response.status, execution]).toEqual(response.status === 200 ? [200, "run"] : [503, "not_run"]);
            }
            await waitUntil(async () => (await sendChat("m1", false, "chain")).status === 200);
        });

        // Guards against a second load of a model whose first load took effect, and against memory that is reserved
        // for one model while another still uses it.
        const loadFaults: Partial<EngineFaults>[] = [{ failLoads: 2 }, { unansweredLoads: 3 }, { hungLoads: 3 }];
        it.each(loadFaults)("serves all models despite the engine fault %j", async faults => {
            engine.setFaults(faults);
            const rounds = [...MODELS, ...MODELS, ...MODELS];
            const responses = await Promise.all(rounds.map(model => sendChat(model, false, `for ${model}`)));
            expect(responses.map(response => response.status)).toEqual(rounds.map(() => 200));
            const texts = await Promise.all(responses.map(response => readText(response)));
            expect(texts).toEqual(rounds.map(model => expectedText(`for ${model}`)));
            const kinds = engine.journal.list().map(event => event.kind);
            expect(kinds.filter(kind => kind === "overcommit")).toEqual([]);
            const interrupted = engine.journal.list().filter(event =>
                event.kind === "unload_started" && event["running"] !== 0
            );
            expect(interrupted).toEqual([]);
        });
    },
);

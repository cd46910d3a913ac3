import { afterAll, beforeAll, expect, it } from "vitest";
import { eventually } from "../support/eventually.ts";
import { PlatformFixture } from "./stand-ins/fixture.ts";
import type { PlatformServerStandIn } from "./stand-ins/platform-server.ts";

const ENGINE_COUNT = 6;
const GATEWAY_COUNT = 3;
/** From this time after the fifth crash on, no more than three requests with the part may reach an engine. */
const PROVED_CRASH_COUNT = 5;
const CONTACT_MS = 3_000;
const MAX_LATER_COUNT = 3;
const REQUEST_COUNT = 60;
const INTERVAL_MS = 150;

let fixture: PlatformFixture;
const engines: PlatformServerStandIn[] = [];

beforeAll(async () => {
    fixture = await PlatformFixture.start();
    for (let index = 0; index < ENGINE_COUNT; index += 1) {
        const engine = await fixture.addServer({ id: `e${index}`, service: "assistant", models: ["m1"] });
        engine.deadlyPart = "bad0";
        engines.push(engine);
    }
    for (let index = 0; index < GATEWAY_COUNT; index += 1) {
        const gateway = await fixture.addGateway(`edge-${index}`);
        for (const { id } of engines) await fixture.waitUntilServerAvailable(gateway, id);
    }
});

afterAll(async () => {
    await fixture.close();
});

function send(gateway: number, parts: string): ReturnType<PlatformFixture["call"]> {
    const headers = { "x-model": "m1", "x-token-count": "10,10", "x-prompt-prefix": parts };
    return fixture.call(gateway, "/chat/x", { headers });
}

// Guards against requests of one kind that crash engines one after the other: each gateway sent each of them to as many
// engines as its route allows.
it("stops requests with a part that crashes engines, and serves those that share their other parts", async () => {
    await send(0, "aaaa:100,bbbb:50,ffff:10");
    const deadly: ReturnType<typeof send>[] = [];
    const sound: ReturnType<typeof send>[] = [];
    for (let index = 0; index < REQUEST_COUNT; index += 1) {
        const gateway = index % GATEWAY_COUNT;
        if (index % 2 === 0) deadly.push(send(gateway, `aaaa:100,bad0:50,d${index}:10`));
        else sound.push(send(gateway, `aaaa:100,c${index}:50,s${index}:10`));
        await new Promise(resolve => setTimeout(resolve, INTERVAL_MS));
    }
    const deadlyResponses = await Promise.all(deadly);
    const soundResponses = await Promise.all(sound);
    const crashedAtMs = engines.flatMap(engine => engine.crashedAtMs).sort((a, b) => a - b);
    expect(crashedAtMs.length).toBeGreaterThan(0);
    const provedAtMs = crashedAtMs[PROVED_CRASH_COUNT - 1] ?? Infinity;
    const later = crashedAtMs.filter(atMs => atMs > provedAtMs + CONTACT_MS);
    expect(later.length).toBeLessThanOrEqual(MAX_LATER_COUNT);
    expect(performance.now()).toBeGreaterThan(crashedAtMs[0]! + 2 * CONTACT_MS);
    const last = deadlyResponses.at(-1)!;
    expect(last.status).toBe(503);
    expect(JSON.parse(last.text)).toMatchObject({ error: { code: "suspect_prompt", execution: "not_run" } });
    expect(Number(last.headers["retry-after"])).toBeGreaterThan(0);
    const late = soundResponses.slice(soundResponses.length / 2);
    expect(late.map(({ status }) => status)).toEqual(late.map(() => 200));
    // A gateway that starts later learns of the part from the others.
    const gateway = await fixture.addGateway("edge-late");
    await eventually("the late gateway refuses the part", async () => {
        const { gateway: late } = fixture.gateways[gateway]!;
        return (late.status() as { suspectParts: number; }).suspectParts > 0 ? true : undefined;
    }, 4_000);
    expect((await send(gateway, "aaaa:100,bad0:50,late:10")).status).toBe(503);
});

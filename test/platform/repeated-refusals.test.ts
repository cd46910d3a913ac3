import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
    type RepeatingResponse,
    type RepeatingServer,
    type Repetition,
    startRepeatingServer,
} from "../support/repeating-server.ts";
import { createConfigurationDocument, HOST, PlatformFixture } from "./stand-ins/fixture.ts";

const SEAL = "3e1b.07.5a2.600.0.c9f2a4d1";
/** Statuses that tell a caller that the request has not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];
const REFUSAL_STATUSES = [503, 429, 421];
/** A request that all servers refuse waits for another server until its deadline. */
const REFUSED_CALL = { headers: { "x-deadline-ms": "150" } };

interface RepeatedRefusal {
    readonly repetition: Repetition;
    /** Whether the refusal names the request that it was meant for. */
    readonly hasId: boolean;
}

let fixture: PlatformFixture;
let servers: readonly RepeatingServer[] = [];
let serverIds: readonly string[] = [];
let nextServer = 0;

function route(name: string, type: string): object {
    return {
        name,
        host: HOST,
        prefix: `/${name}/`,
        type,
        timeout_ms: 2_000,
        target_latency_ms: 400,
        priority: 1,
        service: "desk",
        max_attempts: 2,
    };
}

beforeAll(async () => {
    fixture = await PlatformFixture.start();
    fixture.store.put(
        "op/config",
        createConfigurationDocument(2, { routes: [route("once", "non_idempotent"), route("lookup", "idempotent")] }),
    );
    await fixture.addGateway("edge-1");
});

afterAll(async () => {
    for (const server of servers) await server.close();
    await fixture.close();
});

/** A server that refuses requests whose path ends with a status, runs the others, and repeats its last refusal. */
function startServer({ repetition, hasId }: RepeatedRefusal): Promise<RepeatingServer> {
    let refusalToRepeat: RepeatingResponse | undefined;
    return startRepeatingServer({
        repetition,
        responseToRepeat: () => refusalToRepeat,
        respond: request => {
            const idHeader = { "x-attempt-id": request.headers["x-attempt-id"]! };
            const status = /^\/once\/(\d+)$/.exec(request.path)?.[1];
            if (status === undefined) {
                return { status: 200, headers: { ...idHeader, "x-response-seal": SEAL }, body: "done" };
            }
            const headers = { "x-not-run": "1", ...(hasId ? idHeader : {}) };
            refusalToRepeat = { status: Number(status), headers, body: "" };
            return refusalToRepeat;
        },
    });
}

async function replaceServers(refusal: RepeatedRefusal): Promise<void> {
    for (const id of serverIds) fixture.store.remove(`servers/${id}`);
    for (const id of serverIds) await fixture.waitUntilServerAvailable(0, id, false);
    for (const server of servers) await server.close();
    servers = [await startServer(refusal), await startServer(refusal)];
    serverIds = servers.map(() => `d${nextServer++}`);
    for (const [index, server] of servers.entries()) {
        const record = { service: "desk", zone: "z1", version: "v1", slots: 8, state: "ready", cold_remaining_ms: 0 };
        const address = new URL(server.url).host;
        const born = 1_772_451_858_000;
        fixture.store.put(`servers/${serverIds[index]}`, { ...record, address, born, sequence: 0 });
    }
    for (const id of serverIds) await fixture.waitUntilServerAvailable(0, id);
}

function countRuns(id: string): number {
    return servers.flatMap(server => server.journal)
        .filter(({ request, response }) => request.headers["x-attempt-id"] === id && response.status === 200).length;
}

const refusals: RepeatedRefusal[] = (["next_request", "connect", "before_response", "after_response"] as const)
    .flatMap(repetition => [true, false].map(hasId => ({ repetition, hasId })));

// Guards against a request that ran and is reported as not run, or runs at a second server, because a server sent an
// earlier refusal once more.
describe("an earlier refusal that is sent once more", () => {
    it.each(refusals)("makes no request look refused: $repetition, with id: $hasId", async refusal => {
        await replaceServers(refusal);
        const results: { path: string; status: number; runs: number; }[] = [];
        for (const refusalStatus of REFUSAL_STATUSES) {
            await fixture.call(0, `/once/${refusalStatus}`, REFUSED_CALL);
            for (const path of ["/once/x", "/lookup/x"]) {
                const id = fixture.newId();
                const { status } = await fixture.call(0, path, { headers: { "x-attempt-id": id } });
                results.push({ path, status, runs: countRuns(id) });
            }
        }
        expect(results.filter(({ status, runs }) => NOT_RUN_STATUSES.includes(status) && runs > 0)).toEqual([]);
        expect(results.filter(({ path, runs }) => path === "/once/x" && runs > 1)).toEqual([]);
        expect(results.some(({ runs }) => runs > 0)).toBe(true);
    });
});

// Guards against connections to servers that are kept, on which a late copy takes the place of the next response.
describe("a server that keeps its connections and repeats its responses on them", () => {
    it.each(REFUSAL_STATUSES)("answers each request itself after a refusal with status %s", async refusalStatus => {
        await replaceServers({ repetition: "next_request", hasId: true });
        const statuses: number[] = [];
        for (let index = 0; index < 3; index += 1) {
            await fixture.call(0, `/once/${refusalStatus}`, REFUSED_CALL);
            statuses.push((await fixture.call(0, "/once/x")).status);
        }
        expect(statuses).toEqual([200, 200, 200]);
        const counts = servers.map(({ connectionCount, journal }) => [connectionCount, journal.length]);
        expect(counts.every(([connections, requests]) => connections === requests)).toBe(true);
    });
});

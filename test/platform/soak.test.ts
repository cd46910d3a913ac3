import { createRandom, type RandomSource } from "@skylarkmill/policy";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { TEST_SEED } from "../support/seed.ts";
import { type CallResult, PlatformFixture } from "./stand-ins/fixture.ts";
import type { PlatformServerStandIn, ServerFault } from "./stand-ins/platform-server.ts";

const SOAK_MS = 12_000;
const FAULT_INTERVAL_MS = 250;
const REQUEST_INTERVAL_MS = 15;
/** Lease duration in the settings of the fixture (`lease_ms`); orders of two owners to one engine are further apart. */
const LEASE_MS = 3_000;
const EVENT_COUNT = 6;

const SERVER_FAULTS: readonly ServerFault[] = [
    "refused_as_not_run",
    "misdirected",
    "status_500",
    "reset_before_response",
    "truncated_body",
    "closed_between_events",
    "closed_within_event",
    "reset_without_length",
    "duplicate_response",
    "missing_seal_header",
    "wrong_attempt_id",
    "silent",
];

interface SentRequest {
    readonly id: string;
    readonly path: string;
    readonly response: CallResult;
}

interface Fleet {
    readonly name: string;
    readonly gatewayCount: number;
    readonly engineModels: readonly (readonly string[])[];
    readonly deskCount: number;
    /** Whether servers become unresponsive or crash and recover, with or without their records staying in the store. */
    readonly hasInterruptions: boolean;
}

const FLEETS: readonly Fleet[] = [
    {
        name: "two gateways in front of three engines",
        gatewayCount: 2,
        engineModels: [["m1", "m2"], ["m1", "m3"], ["m2"]],
        deskCount: 2,
        hasInterruptions: false,
    },
    {
        name: "four gateways in front of eight engines with interruptions",
        gatewayCount: 4,
        engineModels: [["m1", "m2"], ["m1", "m3"], ["m2"], ["m4"], ["m1"], ["m3", "m4"], ["m2", "m4"], []],
        deskCount: 3,
        hasInterruptions: true,
    },
];

let fixture: PlatformFixture;
let fleet: Fleet;
let engines: PlatformServerStandIn[];
let desks: PlatformServerStandIn[];

async function startFleet(selectedFleet: Fleet): Promise<void> {
    fleet = selectedFleet;
    fixture = await PlatformFixture.start();
    engines = [];
    desks = [];
    for (const [index, models] of fleet.engineModels.entries()) {
        engines.push(await fixture.addServer({ id: `e${index + 1}`, service: "assistant", models }));
    }
    for (let count = 1; count <= fleet.deskCount; count += 1) {
        desks.push(await fixture.addServer({ id: `d${count}`, service: "desk" }));
    }
    for (let index = 0; index < fleet.gatewayCount; index += 1) {
        await fixture.addGateway(`edge-${index + 1}`);
        for (const { id } of [...engines, ...desks]) await fixture.waitUntilServerAvailable(index, id);
    }
}

/** Interrupts a server for a random time; its record is removed for that time or stays. */
function interruptServer(server: PlatformServerStandIn, random: RandomSource): void {
    if (server.outage !== "none") return;
    server.outage = random.index(2) === 0 ? "reset" : "silent";
    const isListed = random.index(2) === 0;
    if (!isListed) fixture.store.remove(`servers/${server.id}`);
    setTimeout(() => {
        server.outage = "none";
        if (!isListed) fixture.store.put(`servers/${server.id}`, server.toServerRecord());
    }, 300 + random.index(1_500));
}

/** Injects one random fault, and usually ends a running outage of the store. */
function injectFault(random: RandomSource): void {
    const server = [...engines, ...desks][random.index(engines.length + desks.length)]!;
    const kind = random.index(6);
    if (kind <= 2) server.faults.push(SERVER_FAULTS[random.index(SERVER_FAULTS.length)]!);
    else if (kind === 3) {
        fixture.store.outage = (["silent", "reset", "unavailable", "too_many_requests"] as const)[random.index(4)]!;
    }
    else if (kind === 4) fixture.store.lostResponseCount = random.index(3);
    else server.orderDelayMs = random.index(2) === 0 ? 200 + random.index(1_500) : undefined;
    if (random.index(3) > 0) fixture.store.outage = "none";
    if (random.index(12) === 0) fixture.store.compact();
    if (random.index(20) === 0) fixture.store.deletePrefix("skylarkmill/gateways/");
    if (fleet.hasInterruptions && random.index(3) === 0) interruptServer(server, random);
}

async function sendRandomRequest(random: RandomSource): Promise<SentRequest> {
    const id = fixture.newId();
    const path = ["/chat/x", "/draft/x", "/orders/x", "/lookup/x"][random.index(4)]!;
    const model = `m${1 + random.index(4)}${random.index(4) === 0 ? `/a${1 + random.index(3)}` : ""}`;
    const needsModel = path === "/chat/x" || path === "/draft/x";
    const headers = { "x-attempt-id": id, "x-deadline-ms": "1500", ...(needsModel ? { "x-model": model } : {}) };
    const response = await fixture.call(random.index(fleet.gatewayCount), path, {
        method: path === "/lookup/x" ? "GET" : "POST",
        headers,
    });
    return { id, path, response };
}

function countRuns(id: string): number {
    return [...engines, ...desks].reduce((sum, server) => sum + server.countRuns(id), 0);
}

/** Checks that fencing tokens of accepted orders never decrease, and that the owner never changes within a lease. */
function checkOrders(engine: PlatformServerStandIn): void {
    const accepted = engine.orders.filter(order => order.status !== 412);
    for (const [index, order] of accepted.entries()) {
        const before = accepted[index - 1];
        if (before === undefined) continue;
        expect(order.fencing_token, `token at ${engine.id}`).toBeGreaterThanOrEqual(before.fencing_token);
        if (order.owner !== before.owner) {
            expect(order.atMs - before.atMs, `time between owners at ${engine.id}`).toBeGreaterThan(LEASE_MS);
        }
    }
}

// Guards against repeated execution, wrong refusals, incomplete responses, engine memory overflow and two concurrent
// holders of one engine under random faults.
describe.each(FLEETS)("$name", selectedFleet => {
    beforeAll(() => startFleet(selectedFleet), 20_000);

    afterAll(async () => {
        await fixture.close();
    });

    it("respect run counts, response completeness, engine limits and leases under random faults", async () => {
        const random = createRandom(TEST_SEED);
        const calls: Promise<SentRequest>[] = [];
        const endAtMs = performance.now() + SOAK_MS;
        let nextFaultAtMs = 0;
        while (performance.now() < endAtMs) {
            if (performance.now() >= nextFaultAtMs) {
                injectFault(random);
                nextFaultAtMs = performance.now() + FAULT_INTERVAL_MS;
            }
            calls.push(sendRandomRequest(random));
            for (const engine of engines) {
                expect(engine.loadedModels.size, `models on ${engine.id}`).toBeLessThanOrEqual(2);
                const adapterCount = [...engine.loadedModels.values()].reduce(
                    (sum, adapters) => sum + adapters.size,
                    0,
                );
                expect(adapterCount, `adapters on ${engine.id}`).toBeLessThanOrEqual(2);
            }
            await new Promise(resolve => setTimeout(resolve, REQUEST_INTERVAL_MS));
        }
        const sent = await Promise.all(calls);
        const completeStream = Array.from(
            { length: EVENT_COUNT },
            (_, index) => `id: ${index + 1}\ndata: piece ${index + 1}\n\n`,
        )
            .join("");
        for (const { id, path, response } of sent) {
            const runs = countRuns(id);
            const isRepeatable = path === "/chat/x" || path === "/lookup/x";
            expect(runs, `runs of ${path} ${id}`).toBeLessThanOrEqual(isRepeatable ? 2 : 1);
            if (response.status === 503 && !isRepeatable) expect(runs, `refused ${path} ${id}`).toBe(0);
            if (response.status !== 200) continue;
            if (path === "/chat/x" || path === "/draft/x") {
                if (response.isTruncated) {
                    expect(completeStream.startsWith(response.text), `truncated ${path} ${id}`).toBe(true);
                }
                else expect(response.text, `${path} ${id}`).toBe(completeStream);
            }
            else if (response.headers["content-length"] !== undefined) {
                expect(response.text).toMatch(/^done by d\d$/);
            }
        }
        // The checks above are only meaningful if enough requests are served.
        expect(sent.filter(({ response }) => response.status === 200).length).toBeGreaterThan(sent.length / 4);
        for (const engine of engines) checkOrders(engine);
    }, 40_000);
});

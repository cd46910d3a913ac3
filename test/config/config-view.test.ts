import { createConfigView, DEFAULT_LIMITS, KEYS, sampleDocument } from "@skylarkmill/config";
import { type ModelId, type SectionName, type ServiceId, toId } from "@skylarkmill/protocol";
import { describe, expect, it, vi } from "vitest";
import { FakeRecords } from "./fake-records.ts";

function createDevView() {
    const records = new FakeRecords();
    records.applySections(sampleDocument("dev"));
    return { records, view: createConfigView(records) };
}

const assistant = toId<ServiceId>("workshop-assistant");
const ledger = toId<ServiceId>("parts-ledger");

// Guards against requests that run on a model or adapter other than the one that the caller named.
describe("resolveModelName", () => {
    const cases = [
        { name: "parts-note-leith", model: undefined, adapter: undefined },
        { name: "parts-note-dundee", model: "parts-note-dundee", adapter: undefined },
        { name: "fleet-parts-note-dundee", model: "parts-note-dundee", adapter: "fleet-parts-note-dundee" },
        {
            name: "parts-note-dundee:fleet-parts-note-dundee",
            model: "parts-note-dundee",
            adapter: "fleet-parts-note-dundee",
        },
        { name: "parts-note-glasgow:fleet-parts-note-dundee", model: undefined, adapter: undefined },
        { name: "unknown:fleet-parts-note-dundee", model: undefined, adapter: undefined },
        { name: "parts-note-dundee:", model: undefined, adapter: undefined },
        { name: "parts-note-dundee:fleet-parts-note-dundee:x", model: undefined, adapter: undefined },
        { name: "constructor", model: undefined, adapter: undefined },
    ];
    it.each(cases)("$name resolves to model $model and adapter $adapter", ({ name, model, adapter }) => {
        const resolved = createDevView().view.resolveModelName(name);
        expect(resolved?.model.modelId).toBe(model);
        expect(resolved?.adapterId).toBe(adapter);
    });
});

// Guards against retrying a non-idempotent request because its path is written differently from the rule's.
describe("isNonIdempotent", () => {
    const cases = [
        { service: ledger, method: "POST", path: "/orders", expected: true },
        { service: ledger, method: "post", path: "/orders?now=1", expected: true },
        { service: ledger, method: "POST", path: "//%6frders/", expected: true },
        { service: ledger, method: "POST", path: "/stock/../Orders", expected: true },
        { service: ledger, method: "POST", path: "/orders/%zz", expected: false },
        { service: ledger, method: "GET", path: "/orders", expected: false },
        { service: ledger, method: "GET", path: "/stock/4711", expected: false },
        { service: assistant, method: "POST", path: "/v1/chat/completions", expected: false },
        { service: toId<ServiceId>("unknown"), method: "GET", path: "/", expected: true },
    ];
    it.each(cases)("$service $method $path: $expected", ({ service, method, path, expected }) => {
        expect(createDevView().view.isNonIdempotent(service, method, path)).toBe(expected);
    });

    const patterns = [
        { pattern: "/orders/*", path: "/orders/7", expected: true },
        { pattern: "/orders/*", path: "/orders", expected: true },
        { pattern: "/orders/*", path: "/orders-archive", expected: false },
        { pattern: "/orders*", path: "/orders-archive", expected: true },
        { pattern: "/*", path: "/anything", expected: true },
    ];
    it.each(patterns)("$pattern and $path: $expected", ({ pattern, path, expected }) => {
        const { records, view } = createDevView();
        const services = { s: { kind: "plain", nonIdempotent: [{ method: "POST", path: pattern }] } };
        records.apply(KEYS.config("more"), { team: "t", services });
        expect(view.isNonIdempotent(toId<ServiceId>("s"), "POST", path)).toBe(expected);
    });
});

describe("createConfigView", () => {
    // Guards against processes that keep using the configuration with which they started.
    it("applies changes and deletions and notifies listeners", () => {
        const { records, view } = createDevView();
        const listener = vi.fn();
        view.subscribe(listener);
        expect(view.limits().maxConcurrentLoads).toBe(4);
        records.apply(KEYS.config("parts"), undefined);
        expect(view.service(ledger)).toBeUndefined();
        records.apply(KEYS.config("workshops"), { team: "w", limits: { maxConcurrentLoads: 7 }, services: {} });
        expect(view.limits()).toEqual({ ...DEFAULT_LIMITS, maxConcurrentLoads: 7 });
        expect(view.models().size).toBe(0);
        expect(listener).toHaveBeenCalledTimes(2);
        records.apply(KEYS.drain("h"), {});
        expect(listener).toHaveBeenCalledTimes(2);
    });

    // Guards against a process that loses a service because a newer version of its section is invalid.
    it("keeps the last valid section and reports the problem", () => {
        const { records, view } = createDevView();
        records.apply(KEYS.config("parts"), { team: "parts" });
        expect(view.service(ledger)).toBeDefined();
        expect(view.section(toId<SectionName>("parts"))?.version).toBe(1);
        expect(view.problems()).toEqual([expect.stringContaining("Section parts version 2 can't be applied")]);
    });

    // Guards against processes that assign a model to different services after concurrent edits.
    it("resolves conflicting sections the same way in any order", () => {
        const createConflictingSection = (memoryBytes: number) => ({
            team: "t",
            services: { [`s-${memoryBytes}`]: { kind: "model", models: { shared: { memoryBytes } } } },
        });
        const orders = [["a", "b"], ["b", "a"]].map(names => {
            const records = new FakeRecords();
            for (const name of names) records.apply(KEYS.config(name), createConflictingSection(name === "a" ? 1 : 2));
            return createConfigView(records);
        });
        for (const view of orders) {
            expect(view.model(toId<ModelId>("shared"))?.config.memoryBytes).toBe(1);
            expect(view.problems()).toHaveLength(1);
        }
    });

    const classes = [
        { service: assistant, name: "report", expected: { priority: 2, timeoutMs: 300_000, expectedTokens: 3000 } },
        { service: assistant, name: "toString", expected: { priority: 5, timeoutMs: 30_000, expectedTokens: 200 } },
        { service: ledger, name: undefined, expected: { priority: 5, timeoutMs: 10_000, expectedTokens: 200 } },
    ];
    it.each(classes)("returns the settings of class $name of $service", ({ service, name, expected }) => {
        expect(createDevView().view.requestClass(service, name)).toMatchObject(expected);
    });
});

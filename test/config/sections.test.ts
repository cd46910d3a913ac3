import {
    checkDocument,
    type ConfigSection,
    diffSections,
    MAX_SECTION_BYTES,
    parseDocument,
    parseSection,
    sampleDocument,
} from "@skylarkmill/config";
import { type SectionName, type ServiceId, toId } from "@skylarkmill/protocol";
import { describe, expect, it } from "vitest";

const model = { memoryBytes: 1 };
const plainService = { kind: "plain" };
const createModelService = (models: object) => ({ kind: "model", models });
const createSection = (services: object, more: object = {}): ConfigSection =>
    parseSection({ team: "parts", ...more, services })._unsafeUnwrap();
const toSectionMap = (sections: Record<string, ConfigSection>) =>
    new Map(Object.entries(sections).map(([name, value]) => [toId<SectionName>(name), value]));

// Guards against faults that are reported one at a time, without their path or not at all.
describe("parseSection", () => {
    const cases: { name: string; input: unknown; paths: string[]; }[] = [
        { name: "a value that is not an object", input: 7, paths: ["(document)"] },
        { name: "a missing team", input: { services: {} }, paths: ["team"] },
        {
            name: "a misspelt field",
            input: { team: "a", services: { s: { ...plainService, timeoutMS: 1 } } },
            paths: ["services.s.timeoutMS"],
        },
        {
            name: "a bad service name",
            input: { team: "a", services: { "S 1": plainService } },
            paths: ["services.S 1"],
        },
        {
            name: "several faults at once",
            input: {
                team: "A",
                services: {
                    s: { ...plainService, timeoutMs: 0, nonIdempotent: [{ method: "post", path: "orders" }] },
                    m: createModelService({ "m-1": { memoryBytes: -1, adapters: ["ok", "not ok"] } }),
                },
            },
            paths: [
                "team",
                "services.s.timeoutMs",
                "services.s.nonIdempotent.0.method",
                "services.s.nonIdempotent.0.path",
                "services.m.models.m-1.memoryBytes",
                "services.m.models.m-1.adapters.1",
            ],
        },
    ];
    it.each(cases)("reports $name", ({ input, paths }) => {
        const faults = parseSection(input)._unsafeUnwrapErr().faults;
        expect(faults.map(fault => fault.path).sort()).toEqual([...paths].sort());
    });

    it("fills in the defaults", () => {
        const filled = createSection({ m: createModelService({ "m-1": model }) }, { limits: {} });
        expect(filled).toEqual({
            team: "parts",
            limits: { loadsPerSecond: 3.5, maxConcurrentLoads: 4, maxConcurrentAdapterLoads: 32 },
            services: {
                m: {
                    kind: "model",
                    timeoutMs: 30_000,
                    weight: 1,
                    nonIdempotent: [],
                    checksFencing: false,
                    classes: {},
                    models: {
                        "m-1": { version: "1", memoryBytes: 1, maxReplicas: 1, adapters: [], expectedLoadMs: 10_000 },
                    },
                },
            },
        });
    });
});

// Guards against documents in which two sections or services define the same service, model, adapter or limits.
describe("checkDocument", () => {
    const cases: { name: string; sections: Record<string, ConfigSection>; paths: string[]; }[] = [
        {
            name: "a service in two sections",
            sections: { a: createSection({ s: plainService }), b: createSection({ s: plainService }) },
            paths: ["sections.b.services.s"],
        },
        {
            name: "a model in two services",
            sections: {
                a: createSection({ s: createModelService({ m: model }) }),
                b: createSection({ t: createModelService({ m: model }) }),
            },
            paths: ["sections.b.services.t.models.m"],
        },
        {
            name: "an adapter twice in one model",
            sections: { a: createSection({ s: createModelService({ m: { ...model, adapters: ["x", "x"] } }) }) },
            paths: ["sections.a.services.s.models.m.adapters.1"],
        },
        {
            name: "an adapter named like a model",
            sections: { a: createSection({ s: createModelService({ m: { ...model, adapters: ["m"] } }) }) },
            paths: ["sections.a.services.s.models.m.adapters.0"],
        },
        {
            name: "limits set twice",
            sections: { a: createSection({}, { limits: {} }), b: createSection({}, { limits: {} }) },
            paths: ["sections.b.limits"],
        },
        {
            name: "a section over the value limit",
            sections: {
                a: createSection({
                    s: createModelService({
                        m: {
                            ...model,
                            adapters: Array.from({ length: 9_000 }, (_, i) => `${"x".repeat(108)}-${i}`),
                        },
                    }),
                }),
            },
            paths: ["sections.a"],
        },
        {
            name: "no fault in a valid document",
            sections: {
                a: createSection({ s: plainService }),
                b: createSection({ t: createModelService({ m: model }) }),
            },
            paths: [],
        },
    ];
    it.each(cases)("reports $name", ({ sections, paths }) => {
        const faults = checkDocument(toSectionMap(sections)).match(
            () => [],
            error => error.faults.map(fault => fault.path),
        );
        expect(faults).toEqual(paths);
    });

    it("accepts 120 models with 3,960 adapters in one section", () => {
        const name = (kind: string, index: number) => `${kind}-${"n".repeat(40)}-${index}`;
        const models = Object.fromEntries(Array.from({ length: 120 }, (_, index) => [
            name("model", index),
            { ...model, adapters: Array.from({ length: 33 }, (_, i) => name("adapter", index * 33 + i)) },
        ]));
        const large = createSection({ s: createModelService(models) });
        expect(checkDocument(toSectionMap({ large })).isOk()).toBe(true);
        expect(JSON.stringify(large).length).toBeLessThan(MAX_SECTION_BYTES);
    });
});

// Guards against samples that are invalid or no longer have the sizes of the deployments that they represent.
describe("sampleDocument", () => {
    const cases = [
        { name: "association", models: 65, adapters: 95, services: 2 },
        { name: "depot", models: 40, adapters: 95, services: 2 },
        { name: "dev", models: 15, adapters: 24, services: 2 },
    ] as const;
    it.each(cases)("$name is valid and has the expected sizes", ({ name, ...sizes }) => {
        const sections = sampleDocument(name);
        expect(checkDocument(sections).isOk()).toBe(true);
        const services = [...sections.values()].flatMap(value => Object.values(value.services));
        const models = services.flatMap(service => (service.kind === "model" ? Object.values(service.models) : []));
        expect({
            models: models.length,
            adapters: models.flatMap(value => value.adapters).length,
            services: services.length,
        }).toEqual(sizes);
    });

    it("reports the faults of all sections of a document file", () => {
        const faults = parseDocument({ sections: { a: { services: {} }, b: { team: "b" } } })._unsafeUnwrapErr().faults;
        expect(faults.map(fault => fault.path)).toEqual(["sections.a.team", "sections.b.services"]);
    });
});

// Guards against audit entries that omit a change or include unchanged values.
describe("diffSections", () => {
    const before = createSection({
        s: plainService,
        m: createModelService({ "m-1": { ...model, adapters: ["a", "b"] } }),
    });
    const cases = [
        { name: "no change", after: before, lines: [] },
        {
            name: "a value, an adapter and a service",
            after: createSection({
                m: createModelService({ "m-1": { ...model, maxReplicas: 2, adapters: ["b", "c"] } }),
            }),
            lines: [
                "services.m.models.m-1.adapters.a: present -> (absent)",
                "services.m.models.m-1.adapters.c: (absent) -> present",
                "services.m.models.m-1.maxReplicas: 1 -> 2",
                `services.s: ${JSON.stringify(before.services[toId<ServiceId>("s")])} -> (absent)`,
            ],
        },
        {
            name: "the deletion of a section",
            after: undefined,
            lines: [`(section): ${JSON.stringify(before)} -> (absent)`],
        },
    ];
    it.each(cases)("describes $name", ({ after, lines }) => {
        expect(diffSections(before, after)).toEqual(lines);
    });
});

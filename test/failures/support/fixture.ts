import type { CallResult, Cluster } from "../../support/cluster.ts";
import { eventually } from "../../support/eventually.ts";

export interface TestModel {
    readonly maxReplicas?: number;
    readonly version?: string;
    readonly memoryBytes?: number;
}

export interface WorkshopsSection {
    readonly team: string;
    readonly services: Record<string, { models: Record<string, { version: string; maxReplicas: number; }>; }>;
}

const SERVICE = "workshop-assistant";
// Shorter than the time limit of a test, so that a refusal arrives within it.
const TIMEOUT_MS = 25_000;

/**
 * The section of one model service. Its load limits are so high that only the limits on replicas and engine memory
 * delay a load.
 */
export function createSections(models: Readonly<Record<string, TestModel>>, checksFencing = false) {
    const entries = Object.entries(models).map(([name, model]) => [name, {
        version: model.version ?? "1",
        memoryBytes: model.memoryBytes ?? 1_000_000_000,
        maxReplicas: model.maxReplicas ?? 1,
        expectedLoadMs: 500,
    }]);
    return {
        workshops: {
            team: "workshops",
            limits: { loadsPerSecond: 1000, maxConcurrentLoads: 100 },
            services: {
                [SERVICE]: {
                    kind: "model",
                    timeoutMs: TIMEOUT_MS,
                    checksFencing,
                    models: Object.fromEntries(entries) as object,
                },
            },
        },
    };
}

/** Edits one model of the section through a router; resolves with the time at which the edit was sent. */
export async function editModel(
    cluster: Cluster,
    model: string,
    change: { readonly version?: string; readonly maxReplicas?: number; },
    router = "router-1",
): Promise<number> {
    const { version, section } = await cluster.readSection<WorkshopsSection>("workshops", router);
    Object.assign(section.services[SERVICE]!.models[model]!, change);
    const sentAtMs = Date.now();
    const response = await cluster.editSection("workshops", version, section, router);
    if (response.status !== 200) throw new Error(`the edit was refused: ${response.status} ${response.text}`);
    return sentAtMs;
}

interface StoredGrants {
    readonly value?: { readonly grants: readonly { readonly serverId: string; readonly revoking: boolean; }[]; };
}

/** Engines that hold a grant which is not being revoked, in the order of the record. */
export async function grantHolders(cluster: Cluster, model: string): Promise<string[]> {
    const text = await cluster.readKey(`/skylarkmill/grants/${model}`);
    const grants = text === undefined ? [] : (JSON.parse(text) as StoredGrants).value?.grants ?? [];
    return grants.filter(grant => !grant.revoking).map(grant => grant.serverId);
}

/** Waits until exactly these engines hold a grant of the model. */
export function waitForGrantHolders(cluster: Cluster, model: string, engines: readonly string[]): Promise<true> {
    return eventually(`grants of ${model} at ${engines.join(", ")}`, async () => {
        const holders = await grantHolders(cluster, model);
        return [...holders].sort().join() === [...engines].sort().join() ? true : undefined;
    }, 25_000);
}

/** The engine that holds the model's only grant and the other engine, each with its agent. */
export async function findPlacement(cluster: Cluster, model: string) {
    await cluster.waitForGrants([model]);
    const [engine = ""] = await grantHolders(cluster, model);
    const otherEngine = engine === "engine-1" ? "engine-2" : "engine-1";
    return {
        engine,
        agent: engine.replace("engine", "agent"),
        otherEngine,
        otherAgent: otherEngine.replace("engine", "agent"),
    };
}

/** Waits for an event in the journal of one engine at or after the wall-clock time `fromMs`. */
export function waitForEvent(
    cluster: Cluster,
    engine: string,
    kind: string,
    modelId: string,
    fromMs = 0,
): Promise<true> {
    return eventually(`${kind} of ${modelId} at ${engine}`, async () => {
        const events = await cluster.journal(engine);
        const isMatch = (event: (typeof events)[number]): boolean =>
            event.kind === kind && event.modelId === modelId && event.atMs >= fromMs;
        return events.some(isMatch) ? true : undefined;
    }, 25_000);
}

/** Turns a broken connection, such as one to a killed process, into status 0. */
export function catchConnectionError(response: Promise<CallResult>): Promise<CallResult> {
    return response.catch((cause: unknown) => ({ status: 0, headers: {}, text: String(cause) }));
}

/** Repeats a request until the model is served, as callers do after a refusal. */
export function waitUntilServed(cluster: Cluster, model: string, router = "router-1"): Promise<CallResult> {
    return eventually(`a response of ${model}`, async () => {
        const response = await catchConnectionError(cluster.sendChat({ router, model, message: `again ${model}` }));
        if (response.status !== 200) throw new Error(`${response.status} ${response.text}`);
        return response;
    }, 40_000);
}

/** Kills the process, if it is running, starts the same command again and waits until it listens. */
export async function restart(cluster: Cluster, name: string): Promise<void> {
    const spawned = cluster.process(name);
    await spawned.end();
    const fromLine = spawned.lines.length;
    spawned.start();
    await spawned.waitForLine(/listening/, 15_000, fromLine);
}

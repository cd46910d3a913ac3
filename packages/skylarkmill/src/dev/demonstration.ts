import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { DevCluster } from "./dev-cluster.ts";

interface StepResult {
    readonly hasPassed: boolean;
    readonly detail: string;
}

interface Step {
    readonly name: string;
    run(cluster: DevCluster): Promise<StepResult>;
}

interface HttpResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly text: string;
}

/** Time limit for the routers to become ready and for the first grant. */
const READY_TIMEOUT_MS = 20_000;
/** Time limit for an edit to come into force at all routers. */
const PROPAGATION_TIMEOUT_MS = 5000;
const CONDITION_POLL_INTERVAL_MS = 20;
const QUESTION = "The hub of rickshaw 12 squeaks under load.";

async function sendRequest(
    url: string,
    method: "GET" | "POST" | "PUT",
    headers: Record<string, string> = {},
    body?: unknown,
): Promise<HttpResponse> {
    const response = await request(url, {
        method,
        headers: body === undefined ? headers : { "content-type": "application/json", ...headers },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return { status: response.statusCode, headers: response.headers, text: await response.body.text() };
}

/** Polls a condition; returns whether it became true within the time limit. */
async function waitUntil(condition: () => boolean | Promise<boolean>, timeoutMs: number): Promise<boolean> {
    const endMs = performance.now() + timeoutMs;
    while (performance.now() < endMs) {
        if (await condition()) return true;
        await sleep(CONDITION_POLL_INTERVAL_MS);
    }
    return false;
}

function sendChatRequest(cluster: DevCluster, router: number, model: string, stream: boolean): Promise<HttpResponse> {
    const body = { model, stream, max_tokens: 24, messages: [{ role: "user", content: QUESTION }] };
    return sendRequest(`${cluster.routerUrls[router]}/v1/chat/completions`, "POST", {}, body);
}

function formatElapsed(sinceMs: number): string {
    return `${Math.round(performance.now() - sinceMs)} ms`;
}

function toFailure(response: HttpResponse): StepResult {
    return { hasPassed: false, detail: `${response.status} ${response.text.slice(0, 160)}` };
}

/** Finds a model that has a grant and was never loaded, so that its first request has to load it. */
async function findColdModel(cluster: DevCluster): Promise<string | undefined> {
    const isCold = (modelId: string): boolean => {
        const hasLoadStarted = cluster.events().some(event =>
            event.kind === "load_started" && event.modelId === modelId
        );
        const stored = cluster.keyValue.state.range(`/skylarkmill/grants/${modelId}`, undefined)[0]?.[1].value;
        return !hasLoadStarted && stored !== undefined && stored.includes("grantId");
    };
    await waitUntil(() => cluster.modelIds.some(isCold), READY_TIMEOUT_MS);
    return cluster.modelIds.find(isCold);
}

const coldStart: Step = {
    name: "cold start",
    async run(cluster) {
        const model = await findColdModel(cluster);
        if (model === undefined) return { hasPassed: false, detail: "no model has a grant" };
        const startMs = performance.now();
        const response = await sendChatRequest(cluster, 0, model, false);
        if (response.status !== 200 || !response.text.includes(QUESTION)) return toFailure(response);
        const loads = cluster.events().filter(event => event.kind === "load_finished" && event.modelId === model);
        return {
            hasPassed: loads.length === 1,
            detail: `${model} loaded ${loads.length} time and answered in ${formatElapsed(startMs)}`,
        };
    },
};

const streamedResponse: Step = {
    name: "streamed answer",
    async run(cluster) {
        const loaded = cluster.events().findLast(event => event.kind === "load_finished");
        if (loaded === undefined) return { hasPassed: false, detail: "no model is loaded" };
        const startMs = performance.now();
        const response = await sendChatRequest(cluster, 1, String(loaded.modelId), true);
        const events = response.text.split("\n").filter(line => line.startsWith("data: "));
        const isWhole = response.status === 200 && response.text.includes(QUESTION) && events.at(-1) === "data: [DONE]";
        return isWhole
            ? { hasPassed: true, detail: `${events.length} events in ${formatElapsed(startMs)}` }
            : toFailure(response);
    },
};

const repeatedOrder: Step = {
    name: "parts order repeated under one key",
    async run(cluster) {
        const key = `demonstration-${randomUUID()}`;
        const sendOrder = (router: number) =>
            sendRequest(`${cluster.routerUrls[router]}/services/parts-ledger/orders`, "POST", {
                "idempotency-key": key,
            }, {
                part: "hub-bearing",
                quantity: 2,
            });
        const first = await sendOrder(0);
        if (first.status !== 201) return toFailure(first);
        const second = await sendOrder(1);
        const executions = cluster.events().filter(event =>
            event.kind === "execution_started" && event.path === "/orders"
        );
        const isReplay = second.headers["idempotency-replayed"] === "true" && second.text === first.text;
        const number = (JSON.parse(first.text) as { order_number?: string; }).order_number ?? "none";
        const detail = `order ${number}, ${executions.length} execution, repeat ${
            isReplay ? "replayed" : `not replayed: ${second.status} ${second.text.slice(0, 120)}`
        }`;
        return { hasPassed: isReplay && executions.length === 1, detail };
    },
};

const unknownModelRefusal: Step = {
    name: "refusal",
    async run(cluster) {
        const response = await sendChatRequest(cluster, 2, "unknown-model", false);
        const body = JSON.parse(response.text) as { error?: { code?: string; execution?: string; }; };
        const { code = "none", execution = "none" } = body.error ?? {};
        return {
            hasPassed: response.status === 404 && execution === "not_run",
            detail: `${response.status} ${code}, execution ${execution}`,
        };
    },
};

interface SectionResponse {
    readonly version: number;
    readonly section: { readonly services: Record<string, { timeoutMs?: number; }>; };
}

const configEdit: Step = {
    name: "configuration edit read back",
    async run(cluster) {
        const { section, token } = cluster.operatorCredentials;
        const headers = { authorization: `Bearer ${token}` };
        const urls = cluster.operatorUrls.map(url => `${url}/operator/config/${section}`);
        const initialResponse = await sendRequest(urls[0]!, "GET", headers);
        if (initialResponse.status !== 200) return toFailure(initialResponse);
        const { version, section: content } = JSON.parse(initialResponse.text) as SectionResponse;
        const service = Object.values(content.services)[0]!;
        service.timeoutMs = (service.timeoutMs ?? 30_000) + 1000;
        const startMs = performance.now();
        const editHeaders = { ...headers, "if-match": String(version), "x-edit-id": randomUUID() };
        const editResponse = await sendRequest(urls[0]!, "PUT", editHeaders, content);
        if (editResponse.status !== 200 && editResponse.status !== 201) return toFailure(editResponse);
        const isInForce = await waitUntil(async () => {
            const responses = await Promise.all(urls.map(url => sendRequest(url, "GET", headers)));
            return responses.every(response =>
                response.status === 200 && (JSON.parse(response.text) as SectionResponse).version === version + 1
            );
        }, PROPAGATION_TIMEOUT_MS);
        const detail = `section ${section}, version ${version} to ${
            version + 1
        }, in force at ${urls.length} routers after ${formatElapsed(startMs)}`;
        return { hasPassed: isInForce, detail };
    },
};

const STEPS: readonly Step[] = [coldStart, streamedResponse, repeatedOrder, unknownModelRefusal, configEdit];

async function isReady(cluster: DevCluster): Promise<boolean> {
    const responses = await Promise.all(cluster.routerUrls.map(url => sendRequest(`${url}/readyz`, "GET")));
    return responses.every(response => response.status === 200);
}

async function runStep(step: Step, cluster: DevCluster): Promise<StepResult> {
    try {
        return await step.run(cluster);
    }
    catch (cause) {
        return { hasPassed: false, detail: cause instanceof Error ? cause.message : String(cause) };
    }
}

/** Runs the demonstration steps over real sockets and prints a table of results; returns whether all steps passed. */
export async function runDemonstration(cluster: DevCluster, print: (line: string) => void): Promise<boolean> {
    await waitUntil(() => isReady(cluster), READY_TIMEOUT_MS);
    const width = Math.max(...STEPS.map(step => step.name.length));
    print(`${"step".padEnd(width)}  result  detail`);
    let haveAllPassed = true;
    for (const step of STEPS) {
        const { hasPassed, detail } = await runStep(step, cluster);
        haveAllPassed &&= hasPassed;
        print(`${step.name.padEnd(width)}  ${hasPassed ? "ok    " : "failed"}  ${detail}`);
    }
    return haveAllPassed;
}

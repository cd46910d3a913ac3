import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import { eventually } from "../support/eventually.ts";
import { type CallOptions, createConfigurationDocument, type LogLine, PlatformFixture } from "./stand-ins/fixture.ts";
import type { PlatformServerStandIn, RawReply } from "./stand-ins/platform-server.ts";

/** Statuses that tell a caller that the request has not run and never will. */
const PROMISE_STATUSES = [408, 421, 429, 503];
/** Statuses that an engine may send after it has run a request; the fourth one always states that it has not. */
const UNMARKED_STATUSES = [408, 429, 503];
const BODY = "the ledger is away";
const DEADLINE_MS = 20_000;
/** A request that waited for the rest of a response would take until its deadline. */
const PROMPT_MS = DEADLINE_MS / 2;

/** Gateway for tests of log lines; the limit on lines leaves out some of the other one. */
const LOG_GATEWAY = 1;

let fixture: PlatformFixture;
let desks: readonly PlatformServerStandIn[] = [];
const replies: RawReply[] = [];

beforeAll(async () => {
    fixture = await PlatformFixture.start();
    fixture.retrySlack = 5_000;
    fixture.store.put("op/config", createConfigurationDocument(2, {}, DEADLINE_MS));
    desks = [
        await fixture.addServer({ id: "d1", service: "desk" }),
        await fixture.addServer({ id: "d2", service: "desk" }),
    ];
    const engine = await fixture.addServer({ id: "e1", service: "assistant", models: ["m1"], eventCount: 4 });
    for (const server of [...desks, engine]) server.replies = replies;
    for (const [index, name] of ["edge-1", "edge-2"].entries()) {
        await fixture.addGateway(name);
        for (const id of ["d1", "d2", "e1"]) await fixture.waitUntilServerAvailable(index, id);
    }
});

beforeEach(() => void replies.splice(0));

afterAll(() => fixture.close());

/** How the bytes of a response arrive. */
const SHAPES: Readonly<Record<string, (head: string) => RawReply>> = {
    "complete": head => ({
        format: id => `${head}${id}Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
        ending: "close",
    }),
    "in chunks": head => ({
        format: id =>
            `${head}${id}Transfer-Encoding: chunked\r\n\r\n${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`,
        ending: "close",
    }),
    "without a length": head => ({ format: id => `${head}${id}Connection: close\r\n\r\n${BODY}`, ending: "close" }),
    "as an empty stream": head => ({
        format: id => `${head}${id}Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n`,
        ending: "close",
    }),
    "cut": head => ({ format: id => `${head}${id}Content-Length: 900\r\n\r\n${BODY}`, ending: "close" }),
    "reset": head => ({ format: id => `${head}${id}Content-Length: 900\r\n\r\n${BODY}`, ending: "reset" }),
    "as a head alone": head => ({ format: id => `${head}${id}Content-Length: 900\r\n\r\n`, ending: "none" }),
    "too large": head => ({ format: id => `${head}${id}Content-Length: 90000000\r\n\r\n${BODY}`, ending: "none" }),
};

function createReply(status: number, shape = "complete", headers = ""): RawReply {
    return SHAPES[shape]!(`HTTP/1.1 ${status} Status\r\n${headers}`);
}

/** A refusal that is marked as not run, but names another request or none. */
function createForeignReply(status: number, idHeader: string): RawReply {
    const head = `HTTP/1.1 ${status} Status\r\n${idHeader}X-Not-Run: 1\r\nRetry-After: 0.05\r\n`;
    return { format: () => `${head}Content-Length: ${BODY.length}\r\n\r\n${BODY}`, ending: "close" };
}

interface Outcome {
    readonly id: string;
    readonly status: number;
    readonly hasSeal: boolean;
    readonly retryAfter: unknown;
    readonly code: string | undefined;
    readonly execution: string | undefined;
    readonly text: string;
    readonly arrivals: number;
    readonly tookMs: number;
}

interface CallChoices {
    readonly method?: CallOptions["method"];
    readonly model?: string;
    readonly gateway?: number;
}

async function call(
    path: string,
    { method = "POST", model = "", gateway = 0 }: CallChoices = {},
): Promise<Outcome> {
    const id = fixture.newId();
    const startedAtMs = performance.now();
    const headers = {
        "x-attempt-id": id,
        "x-deadline-ms": String(DEADLINE_MS),
        ...(model === "" ? {} : { "x-model": model }),
    };
    const result = await fixture.call(gateway, path, { method, headers });
    const error = readError(result.text);
    return {
        id,
        status: result.status,
        hasSeal: result.headers["x-response-seal"] !== undefined,
        retryAfter: result.headers["retry-after"],
        code: error?.code,
        execution: error?.execution,
        text: result.text,
        arrivals: fixture.servers.flatMap(({ requests }) => requests).filter(request => request.id === id).length,
        tookMs: performance.now() - startedAtMs,
    };
}

/** Starts the servers again, so that nothing is held against them. */
async function forgetOutcomes(): Promise<void> {
    for (const server of desks) {
        fixture.store.remove(`servers/${server.id}`);
        await fixture.waitUntilServerAvailable(0, server.id, false);
        server.bornAtMs += 1;
        server.onRestart();
        await fixture.waitUntilServerAvailable(0, server.id);
    }
}

function readError(text: string): { code: string; execution: string; } | undefined {
    return text.startsWith("{")
        ? (JSON.parse(text) as { error: { code: string; execution: string; }; }).error
        : undefined;
}

const ROUTES = [
    { kind: "an order", path: "/orders/x", model: "" },
    { kind: "a stream that can't be resumed", path: "/draft/x", model: "m1" },
];

// Guards against a request that has run and is refused as not run, so that its caller sends it once more.
describe("a server that runs a request and refuses it without the mark of one that has not run", () => {
    it.each(
        ROUTES.flatMap(route =>
            UNMARKED_STATUSES.flatMap(status => Object.keys(SHAPES).map(shape => ({ ...route, status, shape })))
        ),
    )("promises nothing to the caller of $kind: $status, $shape", async ({ path, model, status, shape }) => {
        replies.push(createReply(status, shape, "Retry-After: 0.05\r\n"));
        const outcome = await call(path, { model });
        expect(outcome).toMatchObject({
            status: 502,
            hasSeal: false,
            retryAfter: undefined,
            code: "refusal_unconfirmed",
            execution: "unknown",
            arrivals: 1,
        });
        expect(outcome.tookMs).toBeLessThan(PROMPT_MS);
    });

    it.each(UNMARKED_STATUSES)("is named in the log and counted apart from lost servers: %s", async status => {
        const { gateway, log } = fixture.gateways[LOG_GATEWAY]!;
        const countFailures = async (): Promise<number[]> => {
            const { values } = await gateway.metrics.failures.get();
            return ["unmarked_refusal", "lost"].map(cause =>
                values.find(({ labels }) => labels["cause"] === cause)?.value ?? 0
            );
        };
        const [unmarked = 0, lost = 0] = await countFailures();
        replies.push(createReply(status));
        const { id } = await call("/orders/x", { gateway: LOG_GATEWAY });
        const steps = await eventually("the log names the request", () => {
            const own = log.filter(({ requestId }: LogLine) => requestId === id);
            return own.some(({ step }) => step === "request.refused") ? own : undefined;
        });
        expect(steps).toMatchObject([
            { step: "request.unmarked_refusal", status, markedNotRun: false, sameRequest: true },
            { step: "request.refused", status: 502, code: "refusal_unconfirmed", execution: "unknown" },
        ]);
        expect(await countFailures()).toEqual([unmarked + 1, lost]);
    });

    // Guards against servers that fail and are chosen as often as sound ones.
    it.each(UNMARKED_STATUSES.flatMap(status => [
        { status, kind: "orders", path: "/orders/x" },
        { status, kind: "lookups", path: "/lookup/x" },
    ]))("gets fewer $kind, though it isn't full: $status", async ({ status, path }) => {
        const [grey, sound] = desks as [PlatformServerStandIn, PlatformServerStandIn];
        await forgetOutcomes();
        grey.replies = Array.from({ length: 20 }, () => createReply(status));
        const before = [grey.requests.length, sound.requests.length];
        const statuses = [];
        for (let count = 0; count < 20; count += 1) statuses.push((await call(path)).status);
        const counts = [grey, sound].map(({ requests }, index) => requests.length - before[index]!);
        grey.replies = replies;
        expect(counts[0]).toBeLessThanOrEqual(2);
        expect(statuses.filter(each => each === 200)).toHaveLength(counts[1]!);
    });
});

// Guards against answers of servers that are replaced although they promise nothing to their callers.
describe("an answer that promises nothing", () => {
    it.each(ROUTES.flatMap(route => [400, 404, 409, 413, 422, 500, 502, 504].map(status => ({ ...route, status }))))(
        "goes on as the server gave it to $kind: $status",
        async ({ path, model, status }) => {
            replies.push(createReply(status, "complete", "Retry-After: 7\r\n"));
            const outcome = await call(path, { model });
            expect(outcome).toMatchObject({ status, hasSeal: true, retryAfter: "7", text: BODY, arrivals: 1 });
        },
    );
});

// Guards against repetitions and replacements that the caller of a request that may run twice has no use for.
describe("an unmarked refusal of a request that may run more than once", () => {
    it("is followed by an attempt at another server: 503", async () => {
        replies.push(createReply(503));
        expect(await call("/lookup/x")).toMatchObject({ status: 200, hasSeal: true, arrivals: 2 });
    });

    it.each([
        { status: 503, count: 2 },
        { status: 429, count: 1 },
        { status: 408, count: 1 },
    ])("goes on as the server gave it after $count attempts: $status", async ({ status, count }) => {
        replies.push(...Array.from({ length: count }, () => createReply(status, "complete", "Retry-After: 0.05\r\n")));
        const outcome = await call("/lookup/x");
        expect(outcome).toMatchObject({ status, hasSeal: true, retryAfter: "0.05", text: BODY, arrivals: count });
    });
});

// Guards against promises that rest on the refusal of another request.
describe("a refusal that is marked as not run", () => {
    const marked = (status: number): RawReply => createReply(status, "complete", "X-Not-Run: 1\r\n");

    it.each(PROMISE_STATUSES)("lets an order go to another server: %s", async status => {
        replies.push(status === 421 ? createReply(status) : marked(status));
        expect(await call("/orders/x")).toMatchObject({ status: 200, hasSeal: true, arrivals: 2 });
    });

    it.each(PROMISE_STATUSES.flatMap(status => [
        { status, kind: "no request", idHeader: "" },
        { status, kind: "another request", idHeader: "X-Attempt-Id: another\r\n" },
        { status, kind: "two requests", idHeader: "X-Attempt-Id: one\r\nX-Attempt-Id: another\r\n" },
    ]))("promises nothing where it names $kind: $status", async ({ status, idHeader }) => {
        replies.push(createForeignReply(status, idHeader));
        const outcome = await call("/orders/x");
        expect(outcome).toMatchObject({
            status: 502,
            hasSeal: false,
            retryAfter: undefined,
            execution: "unknown",
            arrivals: 1,
        });
    });

    it("is named in the log where it names another request", async () => {
        replies.push(createForeignReply(503, "X-Attempt-Id: another\r\n"));
        const { id } = await call("/orders/x", { gateway: LOG_GATEWAY });
        const line = await eventually(
            "the log names the request",
            () =>
                fixture.gateways[LOG_GATEWAY]!.log.find(({ step, requestId }) =>
                    step === "request.lost" && requestId === id
                ),
        );
        expect(line).toMatchObject({ status: 503, markedNotRun: true, sameRequest: false });
    });
});

// Guards against a HEAD request that takes another way to its caller than others.
describe("a HEAD request that may run once at most", () => {
    it.each(UNMARKED_STATUSES)("gets no promise from an unmarked refusal: %s", async status => {
        replies.push({
            format: id => `HTTP/1.1 ${status} Status\r\n${id}Content-Length: 900\r\n\r\n`,
            ending: "close",
        });
        expect(await call("/orders/x", { method: "HEAD" })).toMatchObject({
            status: 502,
            hasSeal: false,
            retryAfter: undefined,
            arrivals: 1,
        });
    });
});

import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import { callRaw, type RawResult } from "../support/raw-caller.ts";
import { HOST, PlatformFixture } from "./stand-ins/fixture.ts";
import type { RawReply } from "./stand-ins/platform-server.ts";

const EVENT_COUNT = 6;
const EVENT_STREAM = "text/event-stream";
const ERROR_RESPONSE = "HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nfail";
const LAST_CHUNK = "0\r\n\r\n";

let fixture: PlatformFixture;
const replies: RawReply[] = [];

beforeAll(async () => {
    fixture = await PlatformFixture.start();
    fixture.retrySlack = 5_000;
    for (const id of ["e1", "e2"]) {
        const engine = await fixture.addServer({ id, service: "assistant", models: ["m1"], eventCount: EVENT_COUNT });
        engine.replies = replies;
    }
    await fixture.addGateway("edge-1");
    for (const id of ["e1", "e2"]) await fixture.waitUntilServerAvailable(0, id);
});

beforeEach(() => void replies.splice(0));

afterAll(() => fixture.close());

function eventText(first: number, last: number): string {
    const ids = Array.from({ length: Math.max(0, last - first + 1) }, (_, index) => first + index);
    return ids.map(id => `id: ${id}\ndata: piece ${id}\n\n`).join("");
}

type Framing = "chunked" | "length" | "none";

function formatResponse(
    identity: string,
    framing: Framing,
    body: string,
    status = "200 OK",
    type = EVENT_STREAM,
): string {
    const head = `HTTP/1.1 ${status}\r\n${identity}Content-Type: ${type}\r\nConnection: close\r\n`;
    if (framing === "none") return `${head}\r\n${body}`;
    if (framing === "length") return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
    const chunk = body === "" ? "" : `${body.length.toString(16)}\r\n${body}\r\n`;
    return `${head}Transfer-Encoding: chunked\r\n\r\n${chunk}${LAST_CHUNK}`;
}

function reply(format: RawReply["format"], ending: RawReply["ending"] = "close"): RawReply {
    return { format, ending };
}

/** A stream that breaks off after its third event. */
function brokenStream(ending: RawReply["ending"], body = eventText(1, 3)): RawReply {
    return reply(identity => formatResponse(identity, "chunked", body).slice(0, -LAST_CHUNK.length), ending);
}

function callStream(headers: Record<string, string> = {}, path = "/chat/x"): Promise<RawResult> {
    return callRaw({
        port: fixture.frontPort(0),
        path,
        version: "1.1",
        headers: {
            "host": HOST,
            "x-attempt-id": fixture.newId(),
            "x-model": "m1",
            "x-deadline-ms": "1500",
            ...headers,
        },
    });
}

const ERROR_BODIES = [
    { name: "text", body: "internal error\n", type: "text/plain" },
    { name: "text that ends with a blank line", body: "internal error\n\n", type: "text/plain" },
    { name: "text that ends with a blank line, sent as a stream", body: "internal error\n\n", type: EVENT_STREAM },
    { name: "a page", body: "<html>\n\n<body>failed</body>\n\n</html>\n\n", type: "text/html" },
    { name: "JSON", body: '{"error": "failed"}\n\n', type: "application/json" },
    { name: "an event without an id", body: 'data: {"error": "failed"}\n\n', type: EVENT_STREAM },
    { name: "an error's head and text", body: ERROR_RESPONSE, type: EVENT_STREAM },
    { name: "events of another type", body: eventText(4, 6), type: "text/plain" },
    { name: "nothing", body: "", type: EVENT_STREAM },
    { name: "only events that the caller has", body: eventText(1, 3), type: EVENT_STREAM },
    { name: "some of the events that the caller has", body: eventText(2, 2), type: EVENT_STREAM },
    { name: "events after a missing one", body: eventText(5, 6), type: EVENT_STREAM },
];
const ERROR_STATUSES = [
    "204 None",
    "206 Partial",
    "304 Same",
    "400 Bad",
    "404 None",
    "421 Other",
    "500 Error",
    "503 Busy",
];
const FRAMINGS: readonly Framing[] = ["chunked", "length", "none"];
const ENDINGS = ["close", "reset"] as const;

// Guards against the text or the head of an error in the middle of a stream that another engine had begun, and against
// such a stream that looks complete.
describe("a stream that broke off and whose next engine fails", () => {
    const rows = [
        ...ERROR_BODIES.map(row => ({ ...row, status: "200 OK" })),
        ...ERROR_STATUSES.map(status => ({ name: "text", body: "internal error\n\n", type: EVENT_STREAM, status })),
    ];
    const cases = FRAMINGS.flatMap(framing => ENDINGS.map(ending => ({ framing, ending })));
    it.each(cases)("ends as cut after its last event: framing $framing, $ending", async ({ framing, ending }) => {
        for (const { name, body, type, status } of rows) {
            const failure = reply(identity => formatResponse(identity, framing, body, status, type), ending);
            // A status that states that the request was not run is followed by one more attempt.
            replies.push(brokenStream(ending), failure, failure, failure, failure, failure, failure, failure);
            const { text, isComplete, status: received } = await callStream();
            expect.soft({ name, status, text, isComplete, received, isResent: replies.length < 7 }).toEqual({
                name,
                status,
                text: eventText(1, 3),
                isComplete: false,
                received: 200,
                isResent: true,
            });
            replies.splice(0);
        }
    }, 20_000);

    it.each(cases)("continues once an engine answers: framing $framing, $ending", async ({ framing, ending }) => {
        replies.push(brokenStream(ending), reply(identity => formatResponse(identity, framing, eventText(4, 6))));
        expect(await callStream()).toMatchObject({ status: 200, text: eventText(1, 6), isComplete: true });
    });
});

// Guards against an error's head or text that a faulty engine writes into its own stream.
describe("a stream into which its engine writes an error", () => {
    const errors = [ERROR_RESPONSE, "internal error\r\n\r\n", '{"error": "failed"}\n\n'];
    const cases = errors.flatMap(error =>
        ENDINGS.flatMap(ending => (["chunked", "none"] as const).map(framing => ({ error, ending, framing })))
    );
    it.each(cases)("has no byte of it: $error, $framing, $ending", async ({ error, ending, framing }) => {
        const broken = reply(identity => formatResponse(identity, framing, eventText(1, 3) + error), ending);
        replies.push(broken);
        expect(await callStream()).toMatchObject({ status: 200, text: eventText(1, 6), isComplete: true });
        replies.push(broken);
        const { text, isComplete } = await callStream({}, "/draft/x");
        expect(eventText(1, 3).startsWith(text), text).toBe(true);
        expect(isComplete).toBe(false);
    });
});

// Guards against events that come twice or out of order after a resumption, also one that the caller asked for with the id
// of the last event that it has.
describe("a resumed stream whose event ids are out of order", () => {
    const sequences = [[4, 4, 5, 6], [4, 5, 4, 5, 6], [4, 6], [5, 6], [1, 2, 3, 4, 5, 6], [3, 4, 6, 5], [
        4,
        5,
        6,
        1,
        2,
    ]];
    const starts = ["an engine's lost connection", "the caller's last event id"] as const;
    const cases = sequences.flatMap(ids => starts.map(start => ({ ids, start })));
    it.each(cases)("reaches the caller in order: $ids after $start", async ({ ids, start }) => {
        const isCallers = start === "the caller's last event id";
        const body = ids.map(id => eventText(id, id)).join("");
        const segment = reply(identity => formatResponse(identity, "chunked", body));
        if (!isCallers) replies.push(brokenStream("close"));
        replies.push(segment, segment, segment);
        const first = isCallers ? 4 : 1;
        const result = await callStream(isCallers ? { "last-event-id": "3" } : {});
        const whole = eventText(first, EVENT_COUNT);
        if (result.status === 502) return;
        expect(whole.startsWith(result.text), result.text).toBe(true);
        if (result.isComplete) expect(result.text).toBe(whole);
    });

    // Without a first response to compare with, events with the right ids are the rest whatever their type.
    const errors = ERROR_BODIES.filter(({ body }) => body !== eventText(4, 6));
    it.each(errors)("gets no byte of an error in place of the rest: $name", async ({ body, type }) => {
        for (const framing of FRAMINGS) {
            const failure = reply(identity => formatResponse(identity, framing, body, "200 OK", type));
            replies.splice(0);
            replies.push(failure, failure);
            const result = await callStream({ "last-event-id": "3" });
            expect(result).toMatchObject({ status: 502, isComplete: true });
        }
    });
});

// Guards against data that comes twice: a stream without ids began anew at the next engine.
describe("a stream that breaks off after data without an id", () => {
    it.each([
        { name: "no ids at all", body: "data: a\n\ndata: b\n\n" },
        { name: "data without an id after some with one", body: `${eventText(1, 3)}data: b\n\n` },
    ])("ends as cut: $name", async ({ body }) => {
        replies.push(brokenStream("close", body), reply(identity => formatResponse(identity, "chunked", body)));
        const { text, isComplete } = await callStream();
        expect(body.startsWith(text), text).toBe(true);
        expect(isComplete).toBe(false);
    });

    it("is resumed if it only had comments", async () => {
        replies.push(brokenStream("close", ": hello\n\n"));
        const { text, isComplete } = await callStream();
        expect(text.replaceAll(": hello\n\n", "")).toBe(eventText(1, 6));
        expect(isComplete).toBe(true);
    });
});

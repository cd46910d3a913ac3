import { connect, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { callInChunks } from "../support/chunked-caller.ts";
import { eventually } from "../support/eventually.ts";
import { Harness } from "./support/harness.ts";

const MAX_BODY_BYTES = 100_000;
const MAX_BUFFERED_BODY_BYTES = 400_000;
const CHAT = "POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\n";
const CHUNKED = "transfer-encoding: chunked\r\n\r\n";

let harness: Harness;
const sockets: Socket[] = [];

afterEach(async () => {
    for (const socket of sockets.splice(0)) socket.destroy();
    await harness.stop();
});

/** Opens connections that send the same bytes and stay open; returns what each of them has received so far. */
async function openCallers(count: number, text: string): Promise<() => string[]> {
    const texts: string[] = Array.from({ length: count }, () => "");
    await Promise.all(texts.map((_, index) =>
        new Promise<void>(resolve => {
            const socket = connect(harness.ports.port, "127.0.0.1");
            sockets.push(socket);
            socket.on("data", data => texts[index] += data.toString("latin1"));
            // The router may reset a connection at any time.
            socket.on("error", () => undefined);
            socket.once("connect", () => socket.write(text, () => resolve()));
        })
    ));
    return () => texts;
}

function chat(body: object): Promise<number> {
    return callInChunks({ port: harness.ports.port, head: CHAT, body: JSON.stringify(body), chunkByteCount: 50 });
}

describe("memory of a router for bodies that are not complete", () => {
    const start = async (): Promise<void> => {
        const limits = { maxBodyBytes: MAX_BODY_BYTES, maxBufferedBodyBytes: MAX_BUFFERED_BODY_BYTES };
        harness = await new Harness().start({ limits });
    };

    // Guards against a few callers that keep all others out by bodies that they never send.
    it.each([
        { name: "chunked bodies that have only begun", text: `${CHAT}${CHUNKED}1\r\nx\r\n` },
        { name: "stated bodies that have only begun", text: `${CHAT}content-length: ${MAX_BODY_BYTES}\r\n\r\nx` },
    ])("leaves room beside 60 $name", async ({ text }) => {
        await start();
        await openCallers(60, text);
        expect(await chat({ model: "bench-diagnosis" })).toBe(200);
        const response = await harness.chat({ model: "bench-diagnosis" });
        expect(response.status).toBe(200);
    });

    it("is taken from the oldest of bodies that stop short of their end", async () => {
        await start();
        const chunk = `ea60\r\n${"x".repeat(60_000)}\r\n`;
        const getTexts = await openCallers(6, `${CHAT}${CHUNKED}${chunk}`);
        const body = { model: "bench-diagnosis", text: "x".repeat(60_000) };
        await eventually("an ordinary request is served", async () => await chat(body) === 200 || undefined);
        const refused = getTexts().filter(text => text !== "");
        expect(refused.length).toBeGreaterThan(0);
        for (const text of refused) expect(text).toContain('"execution":"not_run"');
    });

    // Guards against bodies whose memory is not returned.
    it("is free again after callers have gone", async () => {
        await start();
        const chunk = `c350\r\n${"x".repeat(50_000)}\r\n`;
        for (let round = 0; round < 5; round += 1) {
            await openCallers(10, `${CHAT}${CHUNKED}${chunk}`);
            for (const socket of sockets.splice(0)) socket.destroy();
        }
        const body = { model: "bench-diagnosis", text: "x".repeat(MAX_BODY_BYTES - 1_000) };
        await eventually("an ordinary request is served", async () => await chat(body) === 200 || undefined);
    });
});

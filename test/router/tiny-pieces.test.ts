import type { ServerId } from "@skylarkmill/protocol";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ResponseRelay } from "../../packages/router/src/runtime/response-relay.ts";
import type { ResponseWriter } from "../../packages/router/src/runtime/response-writer.ts";
import type { RequestSpec } from "../../packages/router/src/types/request.ts";
import { MAX_HELD_BYTES, TinyPieces } from "../support/held-memory.ts";
import type { AgentBehaviour } from "./support/fake-agent.ts";
import { Harness, preferServers } from "./support/harness.ts";

/** Sends a response whose body comes in chunks of one byte. */
function respondInTinyPieces(status: number, headers: Record<string, string>, body: string): AgentBehaviour {
    return (_request, response) => {
        response.writeHead(status, headers);
        for (const character of body) response.write(character);
        response.end();
    };
}

/** Keeps what the caller is sent. */
class RecordedWriter {
    readonly parts: Buffer[] = [];

    get text(): string {
        return Buffer.concat(this.parts).toString();
    }

    sendHead(): void {}

    sendComplete(_head: unknown, body: Buffer): void {
        this.parts.push(body);
    }

    write(part: Buffer): boolean {
        this.parts.push(part);
        return true;
    }
}

function createRelay(writer: RecordedWriter, maxBufferedBytes: number): ResponseRelay {
    const target = { modelId: "bench-diagnosis" };
    return new ResponseRelay({
        writer: writer as unknown as ResponseWriter,
        spec: { method: "POST", target, idempotencyKey: "k1", isIdempotent: false } as unknown as RequestSpec,
        head: { status: 200, headers: { "content-type": "application/json" } },
        source: { pause: () => undefined, resume: () => undefined },
        maxBufferedBytes,
    });
}

// Guards against an agent whose response takes a hundred times its size.
describe("a buffered response in tiny pieces", () => {
    it("takes little more memory than its bytes, also as an outcome", async () => {
        const writer = new RecordedWriter();
        const relay = createRelay(writer, 1_000_000);
        const pieces = new TinyPieces();
        await pieces.passTo(piece => relay.push(piece));
        expect(pieces.heldByteCount).toBeLessThan(MAX_HELD_BYTES);
        expect(relay.end()).toBe(true);
        expect(writer.text).toBe(pieces.text);
        expect(relay.outcomeBody()?.toString()).toBe(pieces.text);
    });

    it("is passed on in few parts once it is too long to be buffered", async () => {
        const writer = new RecordedWriter();
        const relay = createRelay(writer, 999);
        const pieces = new TinyPieces();
        await pieces.passTo(piece => relay.push(piece));
        relay.push(Buffer.from("y"));
        expect(writer.text).toBe(`${pieces.text}y`);
        expect(writer.parts.length).toBeLessThan(10);
    });
});

// Guards against responses whose meaning depends on how they are cut.
describe("a response in tiny pieces", () => {
    let harness: Harness;
    beforeEach(async () => {
        harness = await new Harness().start({
            policies: { chooser: preferServers(["engine-1", "ledger-1"] as ServerId[]) },
        });
    });
    afterEach(() => harness.stop());

    it.each([
        { name: "a stream", ending: "data: [DONE]\n\n" },
        { name: "a stream that ends with an error", ending: 'data: {"error":{"code":"gap"}}\n\n' },
    ])("reaches the caller unchanged: $name", async ({ ending }) => {
        const body = `data: {"choices":[]}\n\n${ending}`;
        harness.agents["engine-1"]!.behaviour = respondInTinyPieces(200, { "content-type": "text/event-stream" }, body);
        const response = await harness.chat({ model: "bench-diagnosis", stream: true });
        expect(response.text).toBe(body);
    });

    it("keeps the reason of a refusal", async () => {
        const error = { type: "invalid_request_error", code: "prompt_too_long", message: "The prompt is too long." };
        harness.agents["engine-1"]!.behaviour = respondInTinyPieces(
            400,
            { "content-type": "application/json", "x-skylarkmill-execution": "not_run" },
            JSON.stringify({ error }),
        );
        const response = await harness.chat({ model: "bench-diagnosis" });
        expect(response.status).toBe(400);
        expect(JSON.parse(response.text)).toMatchObject({ error });
    });
});

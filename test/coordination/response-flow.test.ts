import { LoopShare, ResponseFlow } from "@skylarkmill/coordination";
import { request } from "node:http";
import { type AddressInfo, createServer, type Server } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, describe, expect, it } from "vitest";
import { eventually } from "../support/eventually.ts";

const BODY_BYTES = 60_000;
/** Part of the time with which a read that takes 10 ms is followed by a pause of 90 ms. */
const LONG_TURNS_SHARE = 0.1;
/** Time in which a response that isn't held back would be read on. */
const UNREAD_MS = 20;

let server: Server | undefined;

afterEach(() => {
    server?.close();
});

/** Receives a response that comes in chunks of one size; `onFlow` is called before it begins. */
class ReceivedResponse {
    byteCount = 0;
    hasEnded = false;
    flow: ResponseFlow | undefined;

    private constructor(port: number, readonly share: LoopShare) {
        const call = request({ port, host: "127.0.0.1", agent: false });
        call.once("socket", socket => {
            this.flow = new ResponseFlow(socket, this.share);
        });
        call.once("response", response => {
            response.on("data", (chunk: Buffer) => {
                this.byteCount += chunk.length;
                this.flow!.countPieces(1);
            });
            response.once("end", () => {
                this.hasEnded = true;
            });
        });
        call.end();
    }

    static async start(chunkBytes: number, share = new LoopShare()): Promise<ReceivedResponse> {
        const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
        server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => {
                socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                socket.end(`${chunk.repeat(BODY_BYTES / chunkBytes)}0\r\n\r\n`);
            });
        });
        await new Promise<void>(resolve => server!.listen(0, "127.0.0.1", resolve));
        return new ReceivedResponse((server.address() as AddressInfo).port, share);
    }
}

describe("a response", () => {
    it.each([
        { chunkBytes: 1, isPaced: true },
        { chunkBytes: 6_000, isPaced: false },
    ])("in chunks of $chunkBytes bytes is whole, and takes turns: $isPaced", async ({ chunkBytes, isPaced }) => {
        const received = await ReceivedResponse.start(chunkBytes);
        await eventually("its end", () => received.hasEnded || undefined);
        expect(received.byteCount).toBe(BODY_BYTES);
        expect(received.share.totals.readCount > 0).toBe(isPaced);
    });

    it("that waits for its turn isn't read when its reader resumes it", async () => {
        const received = await ReceivedResponse.start(1, new LoopShare(LONG_TURNS_SHARE));
        await eventually("a turn", () => received.flow?.isHeld || undefined);
        const { byteCount } = received;
        received.flow!.pause();
        received.flow!.resume();
        await delay(UNREAD_MS);
        expect(received.flow!.isHeld).toBe(true);
        expect(received.byteCount).toBe(byteCount);
        await eventually("its end", () => received.hasEnded || undefined);
    });

    it("that is paused isn't read when its turn comes", async () => {
        const received = await ReceivedResponse.start(1);
        await eventually("a turn", () => received.flow?.isHeld || undefined);
        received.flow!.pause();
        const { byteCount } = received;
        await eventually("the end of its turn", () => received.flow!.isHeld ? undefined : true);
        await delay(50);
        expect(received.byteCount).toBe(byteCount);
        received.flow!.resume();
        await eventually("its end", () => received.hasEnded || undefined);
        expect(received.byteCount).toBe(BODY_BYTES);
    });
});

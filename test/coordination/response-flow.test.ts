import { LoopShare, ResponseFlow, type WaitingRead } from "@skylarkmill/coordination";
import { request } from "node:http";
import { type AddressInfo, createServer, type Server } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, describe, expect, it } from "vitest";
import { eventually } from "../support/eventually.ts";

const BODY_BYTES = 60_000;
/** Time in which a response that isn't held back would be read on. */
const UNREAD_MS = 50;

let server: Server | undefined;

afterEach(() => {
    server?.close();
});

/** Lets connections wait until the test ends their turn. */
class ManualShare extends LoopShare {
    private waitingRead: WaitingRead | undefined;

    override add(read: WaitingRead): void {
        this.waitingRead = read;
    }

    endTurn(): void {
        this.waitingRead!.resume();
    }
}

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

    it.each([
        { name: "waits for its turn isn't read when its reader resumes it", isPaused: false },
        { name: "is paused isn't read when its turn comes", isPaused: true },
    ])("that $name", async ({ isPaused }) => {
        const share = new ManualShare();
        const received = await ReceivedResponse.start(1, share);
        await eventually("a turn", () => received.flow?.isHeld || undefined);
        const flow = received.flow!;
        const { byteCount } = received;
        flow.pause();
        if (isPaused) share.endTurn();
        else flow.resume();
        await delay(UNREAD_MS);
        expect(flow.isHeld).toBe(!isPaused);
        expect(received.byteCount).toBe(byteCount);
        if (isPaused) flow.resume();
        else share.endTurn();
        await eventually("a further part", () => received.byteCount > byteCount || undefined);
    });
});

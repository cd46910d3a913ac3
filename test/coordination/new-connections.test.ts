import { LoopShare, paceBodies, PacedRequest, ReadDebts, type WaitingRead } from "@skylarkmill/coordination";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { eventually } from "../support/eventually.ts";

const TINY_CHUNKS = `POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n${"1\r\nx\r\n".repeat(9_000)}`;
const REQUEST = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";
const COSTLY_ADDRESS = "127.0.0.2";
const OTHER_ADDRESS = "127.0.0.3";

describe("time that an address owes", () => {
    beforeEach(() => {
        vi.useFakeTimers();
    });

    afterEach(() => {
        vi.useRealTimers();
    });

    it.each([
        { costsMs: [15], maxShare: 0.5, owingMs: 30 },
        { costsMs: [15, 15, 15], maxShare: 0.5, owingMs: 90 },
        { costsMs: [15], maxShare: 0.25, owingMs: 60 },
        { costsMs: [60_000], maxShare: 0.5, owingMs: 200 },
    ])("is paid by waiting: %o", ({ costsMs, maxShare, owingMs }) => {
        const debts = new ReadDebts(maxShare);
        for (const costMs of costsMs) debts.add(COSTLY_ADDRESS, costMs);
        vi.advanceTimersByTime(owingMs - 1);
        expect(debts.isOwing(COSTLY_ADDRESS)).toBe(true);
        expect(debts.isOwing(OTHER_ADDRESS)).toBe(false);
        vi.advanceTimersByTime(1);
        expect(debts.isOwing(COSTLY_ADDRESS)).toBe(false);
    });
});

/** Keeps connections until the test lets them go on. */
class ManualShare extends LoopShare {
    readonly reads: WaitingRead[] = [];

    override wait(read: WaitingRead): void {
        this.reads.push(read);
    }
}

describe("a new connection", () => {
    const sockets: Socket[] = [];
    let share: ManualShare;
    let server: Server;

    beforeEach(async () => {
        share = new ManualShare();
        server = createServer({ IncomingMessage: PacedRequest }, (request, response) => {
            request.resume();
            if (request.method === "GET") response.end("served");
        });
        const debts = new ReadDebts(0.5);
        // More than the time that a test takes.
        for (let index = 0; index < 200; index += 1) debts.add(COSTLY_ADDRESS, 100);
        paceBodies(server, share, debts);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    });

    afterEach(async () => {
        for (const socket of sockets.splice(0)) socket.destroy();
        server.closeAllConnections();
        await new Promise(resolve => server.close(resolve));
    });

    function open(localAddress: string, text: string): { readonly text: () => string; readonly socket: Socket; } {
        const { port } = server.address() as AddressInfo;
        const socket = connect({ port, host: "127.0.0.1", localAddress });
        let received = "";
        socket.on("data", data => received += data.toString("latin1"));
        socket.on("error", () => undefined);
        socket.write(text);
        sockets.push(socket);
        return { text: () => received, socket };
    }

    it("is read at once from an address that owes nothing", async () => {
        const other = open(OTHER_ADDRESS, REQUEST);
        await eventually("a response", () => other.text().includes("served") || undefined);
    });

    it("lets its address owe the time of a body in one-byte chunks", async () => {
        const add = vi.spyOn(ReadDebts.prototype, "add");
        open(OTHER_ADDRESS, TINY_CHUNKS);
        await eventually("a held connection", () => share.reads.length > 0 || undefined);
        expect(add).toHaveBeenCalledWith(OTHER_ADDRESS, expect.any(Number));
    });

    it("waits for its turn from an address whose reads took long", async () => {
        const late = open(COSTLY_ADDRESS, REQUEST);
        const read = await eventually("a wait", () => share.reads[0]);
        expect(late.text()).toBe("");
        read.resume();
        await eventually("a response", () => late.text().includes("served") || undefined);
    });

    it("is closed if too many of its address wait", async () => {
        const late = Array.from({ length: 100 }, () => open(COSTLY_ADDRESS, REQUEST));
        await eventually("closed connections", () => late.some(({ socket }) => socket.destroyed) || undefined);
        expect(late.every(({ text }) => text() === "")).toBe(true);
    });
});

import { createServer, type Server, type Socket } from "node:net";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import { z } from "zod";
import { Journal } from "../runtime/journal.ts";
import type { SocketAddress, StandIn } from "../types/stand-in.ts";
import { createStandInApp, readJsonBody, startHttpServer } from "./http-server.ts";

const proxyFaultsSchema = z.object({
    /**
     * `cut`: resets all open and new connections. `refuse`: refuses new connections and keeps open ones.
     * `hang`: keeps connections open and forwards no data.
     */
    mode: z.enum(["pass", "cut", "refuse", "hang"]).optional(),
    /** Directions to which `hang`, `delayMs` and `resetAfterBytes` apply. */
    direction: z.enum(["both", "to_target", "from_target"]).optional(),
    delayMs: z.number().min(0).max(600_000).optional(),
    /** Resets a connection after it has forwarded this many bytes; 0 for never. */
    resetAfterBytes: z.number().int().min(0).optional(),
});

export type ProxyFaults = Required<z.output<typeof proxyFaultsSchema>>;
type Direction = "to_target" | "from_target";

export interface FaultProxyOptions {
    readonly listen: SocketAddress;
    readonly target: SocketAddress;
    /** Address of the HTTP interface with `PUT /control/faults`; omitted if faults are set only within this process. */
    readonly control?: SocketAddress;
    /** @default "proxy" */
    readonly name?: string;
}

export interface FaultProxy {
    readonly host: string;
    readonly port: number;
    readonly journal: Journal;
    readonly control: StandIn | undefined;
    setFaults(faults: Partial<ProxyFaults>): Promise<void>;
    close(): Promise<void>;
}

/** A client's connection with the matching connection to the target. */
interface ProxiedConnection {
    readonly clientSocket: Socket;
    readonly targetSocket: Socket;
    /** Bytes forwarded while `resetAfterBytes` is set, in the directions to which it applies. */
    forwardedBytes: number;
}

class ProxyServer {
    readonly journal: Journal;
    readonly faults: ProxyFaults = { mode: "pass", direction: "both", delayMs: 0, resetAfterBytes: 0 };
    private readonly target: SocketAddress;
    private readonly connections = new Set<ProxiedConnection>();
    /** Resolvers of the chunks and stream ends that wait for the end of `hang`. */
    private readonly hungWaiters = new Set<() => void>();
    private server: Server | undefined;
    private address: SocketAddress;

    constructor(listen: SocketAddress, target: SocketAddress, journal: Journal) {
        this.address = listen;
        this.target = target;
        this.journal = journal;
    }

    async listen(): Promise<SocketAddress> {
        if (this.server !== undefined) return this.address;
        const server = createServer({ allowHalfOpen: true }, clientSocket => this.accept(clientSocket));
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen({ ...this.address, exclusive: true }, resolve);
        });
        this.server = server;
        // Listening again after the mode `refuse` must use the same port.
        this.address = { host: this.address.host, port: (server.address() as AddressInfo).port };
        return this.address;
    }

    async setFaults(faults: Partial<ProxyFaults>): Promise<void> {
        Object.assign(this.faults, faults);
        this.journal.add("faults", { ...faults });
        if (this.faults.mode === "refuse") this.stopListening();
        else await this.listen();
        if (this.faults.mode === "cut") this.resetConnections();
        if (this.faults.mode !== "hang") {
            for (const resume of this.hungWaiters) resume();
            this.hungWaiters.clear();
        }
    }

    close(): void {
        this.stopListening();
        this.resetConnections();
    }

    private stopListening(): void {
        this.server?.close();
        this.server = undefined;
    }

    private resetConnections(): void {
        for (const connection of this.connections) resetConnection(connection);
    }

    private accept(clientSocket: Socket): void {
        if (this.faults.mode === "cut") {
            clientSocket.on("error", () => undefined);
            clientSocket.resetAndDestroy();
            return;
        }
        clientSocket.setNoDelay(true);
        const targetSocket = connect({ ...this.target, noDelay: true, allowHalfOpen: true });
        const connection: ProxiedConnection = { clientSocket, targetSocket, forwardedBytes: 0 };
        this.connections.add(connection);
        this.forward(connection, clientSocket, targetSocket, "to_target");
        this.forward(connection, targetSocket, clientSocket, "from_target");
        clientSocket.once("close", () => this.connections.delete(connection));
    }

    private forward(connection: ProxiedConnection, source: Socket, sink: Socket, direction: Direction): void {
        // Each chunk waits for the previous one, so that chunks stay in order when the delay changes.
        let lastChunkForwarded: Promise<void> = Promise.resolve();
        source.on("data", chunk => {
            source.pause();
            lastChunkForwarded = lastChunkForwarded.then(() => this.forwardChunk(connection, sink, chunk, direction))
                .then(() => void source.resume());
        });
        source.on(
            "end",
            () => void lastChunkForwarded.then(() => this.waitWhileHung(direction)).then(() => sink.end()),
        );
        source.on("error", () => resetConnection(connection));
        source.on("close", () => {
            if (!source.readableEnded) resetConnection(connection);
        });
    }

    private async forwardChunk(
        connection: ProxiedConnection,
        sink: Socket,
        chunk: Buffer,
        direction: Direction,
    ): Promise<void> {
        await this.waitWhileHung(direction);
        const applies = this.affectsDirection(direction);
        if (applies && this.faults.delayMs > 0) await new Promise(resolve => setTimeout(resolve, this.faults.delayMs));
        const limitBytes = this.faults.resetAfterBytes;
        if (applies && limitBytes > 0) {
            const remainingBytes = limitBytes - connection.forwardedBytes;
            connection.forwardedBytes += chunk.length;
            if (remainingBytes <= chunk.length) {
                this.journal.add("reset", { afterBytes: limitBytes });
                sink.write(chunk.subarray(0, Math.max(0, remainingBytes)), () => resetConnection(connection));
                return;
            }
        }
        if (!sink.destroyed && !sink.write(chunk)) await waitForDrain(sink);
    }

    private affectsDirection(direction: Direction): boolean {
        return this.faults.direction === "both" || this.faults.direction === direction;
    }

    private async waitWhileHung(direction: Direction): Promise<void> {
        while (this.faults.mode === "hang" && this.affectsDirection(direction)) {
            await new Promise<void>(resolve => this.hungWaiters.add(resolve));
        }
    }
}

function waitForDrain(socket: Socket): Promise<void> {
    return new Promise(resolve => {
        const done = (): void => {
            socket.off("drain", done).off("close", done);
            resolve();
        };
        socket.on("drain", done).on("close", done);
    });
}

function resetConnection(connection: ProxiedConnection): void {
    connection.clientSocket.resetAndDestroy();
    connection.targetSocket.resetAndDestroy();
}

/**
 * Starts a TCP proxy that injects faults between two processes.
 *
 * @example
 * const proxy = await createFaultProxy({ listen: { host: "127.0.0.1", port: 0 }, target: { host: "127.0.0.1", port: 2379 } });
 * await proxy.setFaults({ mode: "hang", direction: "from_target" });
 */
export async function createFaultProxy(options: FaultProxyOptions): Promise<FaultProxy> {
    const journal = new Journal(options.name ?? "proxy");
    const server = new ProxyServer(options.listen, options.target, journal);
    const { host, port } = await server.listen();
    const control = options.control === undefined ? undefined : await startControlServer(options.control, server);
    return {
        host,
        port,
        journal,
        control,
        setFaults: faults => server.setFaults(faults),
        close: async () => {
            server.close();
            await control?.close();
        },
    };
}

function startControlServer(address: SocketAddress, server: ProxyServer): Promise<StandIn> {
    const app = createStandInApp(server.journal);
    app.put("/control/faults", async context => {
        const faults = await readJsonBody(context, proxyFaultsSchema);
        if ("response" in faults) return faults.response;
        await server.setFaults(faults.value);
        return context.json(server.faults);
    });
    return startHttpServer(app, address, server.journal);
}

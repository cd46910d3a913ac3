import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

export interface CountingProxy {
    readonly port: number;
    /** Bytes carried in both directions since the start. */
    carriedBytes(): number;
    close(): Promise<void>;
}

/** Forwards connections to a loopback port and counts their bytes. */
export async function createCountingProxy(targetPort: number): Promise<CountingProxy> {
    let carried = 0;
    const sockets = new Set<Socket>();
    const forward = (from: Socket, to: Socket) => {
        sockets.add(from);
        from.on("data", (chunk: Buffer) => {
            carried += chunk.length;
            to.write(chunk);
        });
        from.on("error", () => undefined);
        from.on("close", () => {
            sockets.delete(from);
            to.destroy();
        });
    };
    const server = createServer(clientSocket => {
        const targetSocket = connect(targetPort, "127.0.0.1");
        forward(clientSocket, targetSocket);
        forward(targetSocket, clientSocket);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        port: (server.address() as AddressInfo).port,
        carriedBytes: () => carried,
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                for (const socket of sockets) socket.destroy();
            }),
    };
}

import { createServer } from "node:net";

/** Ports below those that the system assigns to connections and to servers without a port of their own. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/** Ports between the first ones of two processes with consecutive ids. */
const PROCESS_STRIDE = 200;

let nextOffset = process.pid * PROCESS_STRIDE % PORT_COUNT;

/** Returns a port that nothing listens on, and that this process has not returned before. */
export async function findFreePort(): Promise<number> {
    for (let tryCount = 0; tryCount < PORT_COUNT; tryCount += 1) {
        const port = FIRST_PORT + nextOffset;
        nextOffset = (nextOffset + 1) % PORT_COUNT;
        if (await isFree(port)) return port;
    }
    throw new Error("no free port");
}

function isFree(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen({ host: "127.0.0.1", port, exclusive: true }, () => server.close(() => resolve(true)));
    });
}

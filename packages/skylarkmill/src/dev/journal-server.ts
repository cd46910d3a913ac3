import type { JournalEvent } from "@skylarkmill/stand-ins";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { Address } from "../settings/schemas.ts";

export interface JournalServer {
    readonly url: string;
    close(): Promise<void>;
}

/** Serves the events of all stand-ins at `GET /journal`, oldest first. */
export async function serveJournal(address: Address, events: () => readonly JournalEvent[]): Promise<JournalServer> {
    const server = createServer((request, response) => {
        const isJournal = request.method === "GET" && request.url?.split("?")[0] === "/journal";
        response.writeHead(isJournal ? 200 : 404, { "content-type": "application/json" });
        response.end(JSON.stringify(isJournal ? { events: events() } : { error: "not found" }));
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen({ ...address, exclusive: true }, resolve);
    });
    const { port } = server.address() as AddressInfo;
    return {
        url: `http://${address.host}:${port}`,
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}

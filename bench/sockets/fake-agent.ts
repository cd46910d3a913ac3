import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

// Responds to every request immediately, as the fastest possible agent. Started by router-cost.ts.
const RESPONSE = JSON.stringify({
    id: "chatcmpl-bench",
    object: "chat.completion",
    choices: [{ index: 0, message: { role: "assistant", content: "x".repeat(400) }, finish_reason: "stop" }],
});
const LOAD_HEADER = JSON.stringify({ slotCount: 1024, acceptsLoads: true });

const server = createServer((request, response) => {
    request.resume().on("end", () => {
        response.writeHead(200, {
            "content-type": "application/json",
            "content-length": RESPONSE.length,
            "x-skylarkmill-load": LOAD_HEADER,
        });
        response.end(RESPONSE);
    });
});
server.keepAliveTimeout = 120_000;
server.listen(0, "127.0.0.1", () => {
    console.log(`listening ${(server.address() as AddressInfo).port}`);
});

import { afterEach, describe, it } from "vitest";
import { CrowdedGateway } from "./stand-ins/crowded-gateway.ts";
import { HOST } from "./stand-ins/fixture.ts";

/** Fewer than the connections that the gateway takes, so that an ordinary caller finds one. */
const MANY_CLIENTS = 150;
/** A response that a caller who doesn't read leaves in the gateway. */
const RESPONSE_BYTES = 600_000;

let gateway: CrowdedGateway;

afterEach(() => gateway.close());

const HEADERS = `host: ${HOST}\r\nx-attempt-id: a1\r\nx-deadline-ms: 60000\r\n`;
const WAITING = `GET /lookup/x HTTP/1.1\r\n${HEADERS}\r\n`
    + `POST /lookup/x HTTP/1.1\r\n${HEADERS}transfer-encoding: chunked\r\n\r\n`;
const TINY_CHUNK = "1\r\nx\r\n";

// Guards against bodies of requests that wait for the response before them: nothing reads these bodies yet.
describe("bodies behind a response that is not read", () => {
    it.each([
        { name: "many one-byte chunks short of the end", chunkCount: 15_000, restCount: 0, clientCount: MANY_CLIENTS },
        { name: "one-byte chunks without end", chunkCount: 1, restCount: 10_000, clientCount: 60 },
    ])("leave the process alive within its memory: $name", async ({ chunkCount, restCount, clientCount }) => {
        gateway = await CrowdedGateway.start({ bodyByteCount: RESPONSE_BYTES, maxBodyBytes: 1024 * 1024 });
        const traffic = {
            start: Buffer.from(WAITING + TINY_CHUNK.repeat(chunkCount), "latin1"),
            ...(restCount === 0 ? {} : { rest: Buffer.from(TINY_CHUNK.repeat(restCount), "latin1") }),
        };
        await gateway.expectToSurvive(traffic, { port: "front", clientCount });
    }, 60_000);
});

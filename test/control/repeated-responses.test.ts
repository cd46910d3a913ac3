import { expect, it } from "vitest";
import { OperatorClient } from "../../packages/control/src/cli/operator-client.ts";
import { startRepeatingServer } from "../support/repeating-server.ts";

const CALL_COUNT = 6;

// Guards against an edit that is shown as accepted because the response to an earlier call came once more.
it("an operators' call does not take a copy of an earlier response for its own", async () => {
    let version = 0;
    const router = await startRepeatingServer({
        respond: () => ({ status: 200, body: JSON.stringify({ version: ++version }) }),
    });
    const client = new OperatorClient({
        routers: [new URL(router.url).host],
        token: "token",
        json: true,
        timeoutMs: 2_000,
    });
    const versions: unknown[] = [];
    for (let index = 0; index < CALL_COUNT; index += 1) {
        const response = await client.call({ method: "PUT", path: "/v1/config", body: {} });
        versions.push(response._unsafeUnwrap().body["version"]);
    }
    await router.close();
    expect(versions).toEqual([1, 2, 3, 4, 5, 6]);
    expect(router.connectionCount).toBe(CALL_COUNT);
});

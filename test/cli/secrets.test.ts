import { mkdtempSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterAll, beforeAll, expect, it } from "vitest";
import { createLoopbackAddress } from "../support/cluster-layout.ts";
import { call } from "../support/cluster.ts";
import { SpawnedProcess } from "../support/spawned-process.ts";

const address = createLoopbackAddress();
const directory = mkdtempSync(join(tmpdir(), "skylarkmill-secrets-"));
const tokenFile = join(directory, "team-tokens");
const router = new SpawnedProcess({
    name: "router",
    args: [
        "router",
        "--host-id=h1",
        "--data-centre=edinburgh",
        `--kv-endpoints=http://${address}:1`,
        `--hosts-url=http://${address}:1/hosts`,
        `--peer-listen=${address}:0`,
        `--listen=${address}:0`,
        `--operator-listen=${address}:10001`,
        `--team-tokens-file=${tokenFile}`,
        "--log-level=trace",
    ],
    env: { SKYLARKMILL_PEER_KEYS: "peer-key-in-use" },
});

beforeAll(async () => {
    writeFileSync(tokenFile, "workshops=token-of-may\n");
    router.start();
    await router.waitForLine(/"listening"/);
});

afterAll(async () => {
    await router.end();
    rmSync(directory, { recursive: true });
});

async function readStatusWithToken(token: string): Promise<number> {
    const headers = { authorization: `Bearer ${token}` };
    return (await call(`http://${address}:10001/operator/config`, { headers })).status;
}

function replaceTokenFile(text: string): void {
    writeFileSync(`${tokenFile}.new`, text);
    renameSync(`${tokenFile}.new`, tokenFile);
}

// Guards against tokens that can only be changed by a restart, and against an invalid file that makes all tokens invalid.
it("applies a changed token file, keeps the previous tokens after an invalid change, and logs no token", async () => {
    expect([await readStatusWithToken("token-of-may"), await readStatusWithToken("token-of-june")]).toEqual([200, 401]);
    replaceTokenFile("workshops=token-of-june\nworkshops=token-of-july\n");
    await router.waitForLine(/secret reloaded/);
    const statuses = await Promise.all(["token-of-may", "token-of-june", "token-of-july"].map(readStatusWithToken));
    expect(statuses).toEqual([401, 200, 200]);
    replaceTokenFile("token-of-august\n");
    await router.waitForLine(/previous value stays in force/);
    expect(await readStatusWithToken("token-of-july")).toBe(200);
    expect(router.lines.join("\n")).not.toMatch(/token-of-|peer-key-in-use/);
});

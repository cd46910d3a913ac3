// See claim.txt.
import { writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { performance } from "node:perf_hooks";
import { fileURLToPath } from "node:url";
import { send } from "../stand-ins-2/client.mjs";
import { createConfig } from "../stand-ins-2/config.mjs";
import { Engine } from "../stand-ins-2/engine.mjs";
import { createGateways, sleep } from "../stand-ins-2/gateway.mjs";
import { Store } from "../stand-ins-2/store.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
/** One in eight is within the share of 0.14 of the site. */
const IDS = Array.from({ length: 8 }, (_, index) => `i-7f3a91c${index}`);
/** Share of its requests that the server in trouble fails. */
const FAIL_SHARE = 0.4;
/** Shorter than the 6.5 s of the site. */
const LOAD_MS = 6_000;
const RATE_PER_S = 40;

/** A server that runs its requests and answers some with a failure of its own; it never says `X-Not-Run` then. */
class GreyEngine extends Engine {
    async work(request, body, response, headers, isGone) {
        await sleep(this.workMs);
        const fails = Math.random() < FAIL_SHARE;
        this.ran(request, body.toString(), fails ? 503 : 200);
        if (!isGone()) this.send(response, fails ? 503 : 200, headers, fails ? "the ledger is away" : "done");
    }
}

class SoundEngine extends Engine {
    async work(request, body, response, headers, isGone) {
        await sleep(this.workMs);
        this.ran(request, body.toString(), 200);
        if (!isGone()) this.send(response, 200, headers, "done");
    }
}

const lines = [];
const record = text => lines.push(`${(performance.now() / 1_000).toFixed(3)} ${text}`);
let code = 2;
try {
    const store = await new Store().start();
    store.put("op/config", createConfig([]));
    /** Runs by attempt, and by order. */
    const attempts = new Map();
    const orders = new Map();
    const servers = await Promise.all(IDS.map((id, index) => {
        const Kind = hasTrouble && index === 0 ? GreyEngine : SoundEngine;
        const server = new Kind({ id, store, service: "parts-ledger", slots: 6 });
        server.ran = (request, order, status) => {
            const attempt = request.headers["x-attempt-id"];
            attempts.set(attempt, (attempts.get(attempt) ?? 0) + 1);
            orders.set(order, (orders.get(order) ?? 0) + 1);
            record(`${id} ran ${order} as attempt ${attempt} and answers ${status}`);
        };
        return server.start();
    }));
    const gateways = await createGateways(3, store.address);
    for (const gateway of gateways) gateway.start();
    await Promise.all(gateways.map(gateway => gateway.untilReady()));
    await sleep(2_000);

    let promised = 0;
    let served = 0;
    /** As PROTOCOL.md tells: an order is sent once more after a promise only, here once. */
    async function place(order, first) {
        for (let attempt = 0; attempt < 2; attempt += 1) {
            const gateway = gateways[(first + attempt) % gateways.length];
            const { id, status, headers } = await send(gateway.front, {
                path: "/order/2f",
                body: order,
                deadlineMs: 1_500,
            });
            record(`attempt ${id} of ${order}: ${status}, seal ${headers?.["x-response-seal"] ?? "none"}`);
            const isPromise = [408, 421, 429, 503].includes(status);
            if (status === 200) served += 1;
            if (isPromise && attempts.has(id)) promised += 1;
            if (!isPromise) return;
            await sleep(1_000 * Number(headers["retry-after"] ?? 0.1));
        }
    }
    const pending = [];
    for (let count = 0; count < LOAD_MS / 1_000 * RATE_PER_S; count += 1) {
        pending.push(place(`order-${count}`, count));
        await sleep(1_000 / RATE_PER_S);
    }
    await Promise.all(pending);
    const twice = [...orders].filter(([, runs]) => runs > 1).map(([order]) => order);
    record(`${orders.size} orders ran, ${served} attempts were served`);
    record(`${promised} attempts were answered as not run and had run; ${twice.length} orders ran twice: ${twice}`);
    if (served < 50) record("too few requests were served for a result");
    else code = promised > 0 ? 1 : 0;
    for (const server of servers) record(`requests at ${server.id}: ${server.requests.length}`);
    if (code === 1) record(`REFUSED broken: ${promised} requests`);
    for (const gateway of gateways) gateway.kill("SIGKILL");
    await Promise.all(gateways.map(gateway => gateway.ended));
}
catch (error) {
    record(`the case could not run: ${error.stack}`);
}
record(`exit code ${code}`);
writeFileSync(join(dirname(fileURLToPath(import.meta.url)), "record.txt"), `${lines.join("\n")}\n`);
process.exit(code);

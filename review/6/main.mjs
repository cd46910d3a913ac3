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
const CALM_MS = 8_000;
const TROUBLE_MS = 30_000;
/** Requests a second over all gateways. */
const RATE_PER_S = 14;
const MODEL = {
    name: "daka510000",
    mb: 72_700,
    load_time_s: 6,
    adapters: 38,
    adapter_mb: 66,
    warm_s: 0.47,
    disk_s: 0.61,
};
/** Adapters that are asked for as usual; two engines have 16 places. */
const USUAL = Array.from({ length: 10 }, (_, index) => `a${index + 1}`);
/** Adapters that are asked for besides when demand moves. */
const RARE = Array.from({ length: 28 }, (_, index) => `a${index + 11}`);

const lines = [];
const record = text => lines.push(`${(performance.now() / 1_000).toFixed(3)} ${text}`);
let code = 2;
try {
    const store = await new Store().start();
    store.put("op/config", createConfig([MODEL]));
    const engines = await Promise.all(["i-7f3a91c2", "i-02d9e6b4"].map(id =>
        new Engine({
            id,
            store,
            service: "workshop-assistant",
            isModelEngine: true,
            checksFences: true,
            eventCount: 47,
            eventMs: 30,
            profile: new Map([[MODEL.name, MODEL]]),
            models: new Map([[MODEL.name, new Set()]]),
        }).start()
    ));
    for (const engine of engines) {
        engine.onOrder = order =>
            record(
                `order at ${engine.id}: ${order.operation} ${order.model}/${order.adapter ?? ""} by ${order.owner} `
                    + `expected ${order.expected}: ${order.status}; held ${order.adaptersBefore}, coming `
                    + `${order.comingBefore}, waiting for runs [${[...engine.leaving].join(" ")}]`,
            );
    }
    const gateways = await createGateways(3, store.address);
    for (const gateway of gateways) gateway.start();
    await Promise.all(gateways.map(gateway => gateway.untilReady()));
    // The members take the order rights after their settling time.
    await sleep(6_000);

    const pending = [];
    const answers = new Map();
    const startedAtMs = performance.now();
    let count = 0;
    const isOver = () => engines.some(engine => engine.overloads.length > 0);
    while (performance.now() - startedAtMs < CALM_MS + TROUBLE_MS && !isOver()) {
        const isTroubled = hasTrouble && performance.now() - startedAtMs > CALM_MS;
        const choice = isTroubled ? [...USUAL, ...RARE] : USUAL;
        const adapter = choice[Math.floor(Math.random() * choice.length)];
        const gateway = gateways[count % gateways.length];
        count += 1;
        const sent = send(gateway.front, {
            path: "/diagnosis/2f",
            headers: {
                "X-Model": `${MODEL.name}/${adapter}`,
                "X-Token-Count": "715,282",
                "X-Prompt-Prefix": `5c1e07a2:172,${count.toString(16)}:543`,
            },
            body: "{}",
            deadlineMs: 12_000,
        });
        record(`request ${count} to ${gateway.name} for ${adapter}`);
        pending.push(sent.then(({ id, status, isComplete, tookMs }) => {
            answers.set(status, (answers.get(status) ?? 0) + 1);
            record(`answer to ${id}: ${status}${isComplete ? "" : " cut"} after ${tookMs} ms`);
        }));
        await sleep(1_000 / RATE_PER_S);
    }
    await Promise.race([Promise.all(pending), sleep(isOver() ? 3_000 : 10_000)]);
    record(`answers by status: ${JSON.stringify([...answers])}`);
    for (const engine of engines) {
        record(`${engine.id}: ${engine.orders.length} orders, ${engine.requests.length} requests`);
        for (const overload of engine.overloads) record(`LIMIT broken at ${engine.id}: ${JSON.stringify(overload)}`);
    }
    const served = answers.get(200) ?? 0;
    if (served < 50 && !isOver()) record("too few requests were served for a result");
    else code = isOver() ? 1 : 0;
    for (const gateway of gateways) gateway.kill("SIGKILL");
    await Promise.all(gateways.map(gateway => gateway.ended));
}
catch (error) {
    record(`the case could not run: ${error.stack}`);
}
record(`exit code ${code}`);
writeFileSync(join(dirname(fileURLToPath(import.meta.url)), "record.txt"), `${lines.join("\n")}\n`);
process.exit(code);

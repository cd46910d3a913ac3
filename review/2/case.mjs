import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Backend, respondWithUnframedStream } from "../support/backend.mjs";
import { describe, sendRequest } from "../support/client.mjs";
import { createConfiguration, HOST, IS_TROUBLED, runCase, sleep } from "../support/deployment.mjs";

const EVENT_COUNT = 60;
const EVENT_INTERVAL_MS = 50;
const STREAM_COUNT = 12;

async function play(deployment) {
    const engines = [];
    for (const id of ["i-a1", "i-a2", "i-a3", "i-a4", "i-a5", "i-a6"]) {
        const engine = await new Backend({
            id,
            service: "assistant",
            models: ["m1"],
            respond: run => respondWithUnframedStream(run, EVENT_COUNT, EVENT_INTERVAL_MS),
        }).start();
        deployment.addServer(engine);
        engines.push(engine);
    }
    deployment.store.put(
        "op/config",
        createConfiguration({
            routes: [{
                name: "overhaul-report",
                host: HOST,
                prefix: "/report/",
                type: "streaming",
                timeout_ms: 20_000,
                target_latency_ms: 2_000,
                priority: 1,
                service: "assistant",
                max_attempts: 1,
                resumable: false,
                gap_aim_ms: 200,
            }],
            services: [{
                name: "assistant",
                health_path: "/health",
                max_connections: 250,
                engine: {
                    slots: 32,
                    mb: 230_000,
                    max_adapters: 8,
                    loads_per_s: 3.6,
                    models: [{ name: "m1", mb: 72_700, load_time_s: 6, adapters: 0, adapter_mb: 66 }],
                },
            }],
        }),
    );
    await deployment.startGateways(3);
    const calls = [];
    for (let index = 0; index < STREAM_COUNT; index += 1) {
        const gateway = deployment.gateways[index % deployment.gateways.length];
        const call = sendRequest({
            port: gateway.port,
            path: "/report/1",
            headers: {
                "X-Model": "m1",
                "X-Token-Count": "715,360",
                "X-Prompt-Prefix": `5c1e07a2:172,${index.toString(16)}e4402b7:543`,
                "X-Deadline-Ms": "20000",
            },
        });
        calls.push(call);
        deployment.record(`${call.id} /report/1 sent to ${gateway.name}`);
        await sleep(20);
    }
    await sleep(1_000);
    if (IS_TROUBLED) {
        // One engine of six crashes, the one with the most streams.
        const [busiest] = [...engines].sort((a, b) => b.runs.length - a.runs.length);
        deployment.record(
            `engine ${busiest.id} crashes with ${busiest.runs.length} streams; its connections are reset`,
        );
        busiest.crash();
    }
    const results = await Promise.all(calls.map(call => call.ended));
    const runs = new Map(engines.flatMap(engine => engine.runs).map(run => [run.id, run]));
    let brokenCount = 0;
    for (const result of results) {
        const run = runs.get(result.id);
        const lastId = Number(/id: (\d+)\n[^\n]*\n\n$/.exec(result.body.toString())?.[1] ?? 0);
        const isEarly = run === undefined || !run.hasEnded || lastId < EVENT_COUNT;
        const isBroken = result.status === 200 && result.isComplete && isEarly;
        if (isBroken) brokenCount += 1;
        deployment.record(`${describe(result)}; last piece ${lastId} of ${EVENT_COUNT}`);
        deployment.record(
            `${result.id} run by ${run?.server}, which ${run?.hasEnded ? "ended it" : "was reset on the way"}`
                + (isBroken ? ": THE ANSWER ENDED EARLY AND LOOKS COMPLETE" : ""),
        );
    }
    deployment.record(`${brokenCount} of ${results.length} answers ended early and look complete`);
    return brokenCount > 0;
}

await runCase(dirname(fileURLToPath(import.meta.url)), play);

import { mkdtempSync, rmSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
    CROWDED_NODE_FLAGS,
    type CrowdTraffic,
    expectSurvival,
    MAX_CROWDED_DESCRIPTORS,
    playCrowd,
} from "../../support/crowd.ts";
import { createConfigurationDocument, HOST, PlatformFixture } from "./fixture.ts";
import { type GatewayProcess, startGatewayProcess } from "./gateway-process.ts";
import type { PlatformServerStandIn, ServerFault } from "./platform-server.ts";

/** Memory of the machine; a process that exceeds it is ended. */
const MEMORY_MB = 200;
/** Time after which a call without a response is repeated. */
const CALL_TIMEOUT_MS = 2_500;

/** More than the requests that a crowd sends. */
const MAX_FAULTY_RESPONSES = 10_000;

export type GatewayPortName = "front" | "ready" | "control";

export interface CrowdedGatewayOptions {
    /** Length of the bodies of the server's responses. */
    readonly bodyByteCount?: number | undefined;
    /** Number of events of the engine's streams. */
    readonly eventCount?: number | undefined;
    /** Flags of Node.js for the gateway. */
    readonly nodeFlags?: readonly string[] | undefined;
    /** Largest body of a request, by the operators' configuration. */
    readonly maxBodyBytes?: number | undefined;
    /** Time that each request may take, by the operators' configuration. */
    readonly routeTimeoutMs?: number | undefined;
}

export interface CrowdPlay {
    readonly port: GatewayPortName;
    readonly clientCount?: number | undefined;
    /** What the servers do with the crowd's requests; they respond soundly by default. */
    readonly fault?: ServerFault | undefined;
}

/** A gateway in a process of its own with a server and an engine, for a crowd of callers that nobody controls. */
export class CrowdedGateway {
    private constructor(
        readonly fixture: PlatformFixture,
        readonly server: PlatformServerStandIn,
        readonly engine: PlatformServerStandIn,
        readonly ports: Record<GatewayPortName, number>,
        private readonly gateway: GatewayProcess,
        private readonly folder: string,
    ) {}

    static async start(options: CrowdedGatewayOptions = {}): Promise<CrowdedGateway> {
        const { bodyByteCount, eventCount, nodeFlags = CROWDED_NODE_FLAGS, maxBodyBytes, routeTimeoutMs } = options;
        const folder = mkdtempSync(join(tmpdir(), "uncontrolled-callers-"));
        const fixture = await PlatformFixture.start();
        if (maxBodyBytes !== undefined || routeTimeoutMs !== undefined) {
            const document = createConfigurationDocument(2, {}, routeTimeoutMs);
            const bodyLimit = maxBodyBytes === undefined ? {} : { max_body_bytes: maxBodyBytes };
            const limits = { ...document["limits"] as object, ...bodyLimit };
            fixture.store.put("op/config", { ...document, limits });
        }
        const server = await fixture.addServer({
            id: "d1",
            service: "desk",
            ...(bodyByteCount === undefined ? {} : { bodyByteCount }),
        });
        const engine = await fixture.addServer({
            id: "e1",
            service: "assistant",
            models: ["m1"],
            eventIntervalMs: 0,
            ...(eventCount === undefined ? {} : { eventCount }),
        });
        const settings = await fixture.createSettings("edge-1");
        const limits = { ...settings.limits, memory_mb: MEMORY_MB, max_fds: MAX_CROWDED_DESCRIPTORS };
        const gateway = await startGatewayProcess({ ...settings, limits }, folder, "d1", nodeFlags);
        const { front, ready, control } = settings.listen_addrs;
        const ports = { front: front.port, ready: ready.port, control: control.port };
        return new CrowdedGateway(fixture, server, engine, ports, gateway, folder);
    }

    async close(): Promise<void> {
        await this.gateway.process.end();
        await this.fixture.close();
        rmSync(this.folder, { recursive: true });
    }

    /** Sends a crowd to one of the ports, and expects the process to live within its memory and to answer afterwards. */
    async expectToSurvive(
        traffic: CrowdTraffic,
        { port, clientCount, fault }: CrowdPlay,
    ): Promise<void> {
        const target = { port: this.ports[port], traffic, clientCount };
        const servers = [this.server, this.engine];
        for (const { faults } of servers) {
            if (fault !== undefined) faults.push(...Array.from({ length: MAX_FAULTY_RESPONSES }, () => fault));
        }
        const outcome = await playCrowd(this.gateway.process, target, async () => {
            for (const { faults } of servers) faults.length = 0;
            return await this.call() === 200;
        });
        expectSurvival(outcome, MEMORY_MB);
    }

    /** Sends a request and reads its whole response. */
    fetch(path: string, more: Readonly<Record<string, string>> = {}): Promise<{ status: number; text: string; }> {
        const headers = { host: HOST, "x-attempt-id": this.fixture.newId(), "x-deadline-ms": "30000", ...more };
        return new Promise((resolve, reject) => {
            const call = request({ port: this.ports.front, host: "127.0.0.1", path, headers, agent: false });
            call.once("response", response => {
                let text = "";
                response.setEncoding("utf8").on("data", (part: string) => text += part);
                response.once("end", () => resolve({ status: response.statusCode ?? 0, text })).once("error", reject);
            });
            call.once("error", reject);
            call.end();
        });
    }

    /** Sends an ordinary request; returns the status of its response. */
    private call(): Promise<number | undefined> {
        const headers = { host: HOST, "x-attempt-id": this.fixture.newId(), "x-deadline-ms": "2000" };
        return new Promise(resolve => {
            const target = { port: this.ports.front, host: "127.0.0.1", path: "/lookup/x", headers };
            const call = request({ ...target, agent: false, timeout: CALL_TIMEOUT_MS }, response => {
                response.resume().once("end", () => resolve(response.statusCode)).once(
                    "error",
                    () => resolve(undefined),
                );
            });
            call.once("timeout", () => call.destroy());
            call.once("error", () => resolve(undefined));
            call.end();
        });
    }
}

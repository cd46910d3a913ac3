import type { PlatformSettings } from "@skylarkmill/platform";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { formatSettings } from "../platform/stand-ins/gateway-process.ts";
import { SpawnedProcess } from "../support/spawned-process.ts";

/** Flags of the deploy file. */
const NODE_FLAGS = ["--disable-wasm-trap-handler", "--max-old-space-size=200", "--max-semi-space-size=2"];
const BYTES_PER_MB = 1_000_000;
/** A process of a slow host runs for less than a fifth of the time. */
const SLOW_RUN_MS = 10;
const SLOW_PAUSE_MS = 45;

/** Runs a gateway's process, starts it again at once when it exits, and checks how it exits. */
export class GatewayRunner extends SpawnedProcess {
    readonly port: number;
    readonly killedAtMs: number[] = [];
    /** Times of the first SIGTERM of each process. */
    readonly terminatedAtMs: number[] = [];
    readonly violations: string[] = [];
    private shouldRestart = true;
    private isKilled = false;
    private isTerminated = false;
    /** Whether SIGTERM came after the start; before that, it may end the process without a stop. */
    private mustExitInOrder = false;
    private firstLine = 0;
    private slowUntilMs = -Infinity;

    constructor(private readonly settings: PlatformSettings, private readonly folder: string) {
        super({
            name: settings.node_name,
            args: ["gateway", "--node-file", join(folder, `${settings.node_name}.json`)],
            nodeFlags: NODE_FLAGS,
        });
        writeFileSync(this.nodeFile, formatSettings(settings));
        this.port = settings.listen_addrs.front.port;
        this.onExit = () => this.checkExit();
    }

    private get nodeFile(): string {
        return join(this.folder, `${this.settings.node_name}.json`);
    }

    /** Writes the settings again in two parts, as a program does that doesn't rename a finished file, and sends SIGHUP. */
    async rewriteSettings(durationMs: number): Promise<void> {
        const text = formatSettings(this.settings);
        writeFileSync(this.nodeFile, text.slice(0, Math.floor(text.length / 2)));
        await sleep(durationMs);
        writeFileSync(this.nodeFile, text);
        this.signal("SIGHUP");
    }

    /** Lets the process run for a share of the time only. */
    async slowDown(durationMs: number): Promise<void> {
        const isSlow = this.slowUntilMs > performance.now();
        this.slowUntilMs = performance.now() + durationMs;
        if (isSlow) return;
        while (performance.now() < this.slowUntilMs) {
            this.checkMemory();
            super.signal("SIGSTOP");
            await sleep(SLOW_PAUSE_MS);
            super.signal("SIGCONT");
            await sleep(SLOW_RUN_MS);
        }
    }

    /** Version of the configuration in force; undefined if there is none, or no response. */
    async fetchConfigurationVersion(): Promise<number | undefined> {
        const { host, port } = this.settings.listen_addrs.control;
        try {
            const response = await fetch(`http://${host}:${port}/v1/status`, { signal: AbortSignal.timeout(1_000) });
            const { configurationVersion } = await response.json() as { configurationVersion?: number; };
            return configurationVersion;
        }
        catch {
            // The process may be starting.
            return undefined;
        }
    }

    endSlowDown(): void {
        this.slowUntilMs = -Infinity;
        super.signal("SIGCONT");
    }

    private checkMemory(): void {
        if (!this.isRunning) return;
        const limitBytes = this.settings.limits.memory_mb * BYTES_PER_MB;
        const usedBytes = this.readMemoryBytes();
        if (usedBytes > limitBytes) this.violations.push(`${this.spec.name} uses ${usedBytes} bytes of memory`);
    }

    override start(): void {
        this.isKilled = this.isTerminated = this.mustExitInOrder = false;
        this.firstLine = this.lines.length;
        super.start();
    }

    override signal(signal: NodeJS.Signals): void {
        this.checkMemory();
        const lines = this.lines.slice(this.firstLine);
        // Node has no handlers before the first line.
        if (lines.length === 0 && signal !== "SIGKILL") return;
        if (signal === "SIGKILL") this.killedAtMs.push(performance.now());
        this.isKilled ||= signal === "SIGKILL";
        if (signal === "SIGTERM" && !this.isTerminated) this.terminatedAtMs.push(performance.now());
        this.isTerminated ||= signal === "SIGTERM";
        this.mustExitInOrder ||= signal === "SIGTERM" && lines.some(line => line.includes('"step":"start"'));
        super.signal(signal);
    }

    /** Stops the process for good and waits for its exit. */
    async stop(): Promise<void> {
        this.shouldRestart = false;
        this.endSlowDown();
        this.signal("SIGTERM");
        this.isTerminated = true;
        await this.end("SIGTERM");
    }

    private checkExit(): void {
        const isInOrder = this.isTerminated && (this.exitCode === 0 || !this.mustExitInOrder);
        if (!this.isKilled && !isInOrder) {
            const cause = this.isTerminated ? "after SIGTERM" : "without a signal";
            const lines = this.lines.slice(-4).join("\n");
            this.violations.push(`${this.spec.name} exited with ${this.exitCode} ${cause}:\n${lines}`);
        }
        if (this.shouldRestart) this.start();
    }
}

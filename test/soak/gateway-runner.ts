import type { PlatformSettings } from "@skylarkmill/platform";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { formatSettings } from "../platform/stand-ins/gateway-process.ts";
import { SpawnedProcess } from "../support/spawned-process.ts";

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

    constructor(settings: PlatformSettings, folder: string) {
        const nodeFile = join(folder, `${settings.node_name}.json`);
        super({ name: settings.node_name, args: ["gateway", "--node-file", nodeFile] });
        writeFileSync(nodeFile, formatSettings(settings));
        this.port = settings.listen_addrs.front.port;
        this.onExit = () => this.checkExit();
    }

    override start(): void {
        this.isKilled = this.isTerminated = this.mustExitInOrder = false;
        this.firstLine = this.lines.length;
        super.start();
    }

    override signal(signal: NodeJS.Signals): void {
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
        for (const signal of ["SIGCONT", "SIGTERM"] as const) this.signal(signal);
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

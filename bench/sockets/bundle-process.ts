import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { existsSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { createInterface } from "node:readline";

const BUNDLE = join(import.meta.dirname, "../../dist/skylarkmill.cjs");
/** Unit of the processor times in /proc: Linux always reports them to programs in 1/100 s. */
const TICKS_PER_SECOND = 100;

/** Runs the built bundle in a process of its own and reads its use of memory and processor time from /proc. */
export class BundleProcess {
    private readonly child: ChildProcess;
    private readonly lines: string[] = [];
    private hasExited = false;

    constructor(args: readonly string[], env: Readonly<Record<string, string>> = {}) {
        if (!existsSync(BUNDLE)) throw new Error("dist/skylarkmill.cjs is missing; run `npm run build`");
        const { PATH = "" } = process.env;
        this.child = spawn(process.execPath, [BUNDLE, ...args], {
            env: { PATH, ...env },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child.once("exit", () => (this.hasExited = true));
        for (const stream of [this.child.stdout!, this.child.stderr!]) {
            createInterface({ input: stream }).on("line", line => {
                this.lines.push(line);
                if (this.lines.length > 200) this.lines.shift();
            });
        }
    }

    async waitUntilListening(): Promise<this> {
        const endMs = performance.now() + 15_000;
        while (!this.lines.some(line => line.includes("listening"))) {
            if (performance.now() > endMs || this.hasExited) {
                throw new Error(`the process did not start:\n${this.lines.join("\n")}`);
            }
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        return this;
    }

    /** Port in the output line that reports listening. */
    listeningPort(): number {
        const line = this.lines.find(candidate => candidate.includes("listening")) ?? "{}";
        return (JSON.parse(line) as { readonly port: number; }).port;
    }

    /** Resident memory in bytes. */
    residentBytes(): number {
        const match = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${this.child.pid}/status`, "utf8"));
        return Number(match?.[1] ?? 0) * 1024;
    }

    /** Processor time used so far, in milliseconds. */
    processorMs(): number {
        const stat = readFileSync(`/proc/${this.child.pid}/stat`, "utf8");
        const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
        return ((Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND) * 1000;
    }

    async end(): Promise<void> {
        if (this.hasExited) return;
        const exited = once(this.child, "exit");
        this.child.kill("SIGKILL");
        await exited;
    }
}

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { join } from "node:path";
import { createInterface } from "node:readline";

/** Runs a TypeScript program of this folder, which prints `listening <port>` once it is ready. */
export class ScriptProcess {
    private constructor(private readonly child: ChildProcess, readonly port: number) {}

    static async start(file: string, ...args: readonly string[]): Promise<ScriptProcess> {
        const path = join(import.meta.dirname, file);
        const child = spawn(process.execPath, ["--import", "tsx", path, ...args], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        for await (const line of createInterface({ input: child.stdout })) {
            const port = /^listening (\d+)$/.exec(line)?.[1];
            if (port !== undefined) return new ScriptProcess(child, Number(port));
        }
        throw new Error(`${file} exited before it listened`);
    }

    async end(): Promise<void> {
        const exited = once(this.child, "exit");
        this.child.kill("SIGKILL");
        await exited;
    }
}

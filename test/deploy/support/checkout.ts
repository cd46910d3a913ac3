import { type ChildProcess, spawn } from "node:child_process";
import {
    chmodSync,
    cpSync,
    existsSync,
    mkdirSync,
    mkdtempSync,
    readdirSync,
    readFileSync,
    rmSync,
    writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";

const rootDir = join(import.meta.dirname, "../../..");
const SOURCES = "packages/skylarkmill/src";
export const PLATFORM_PACKAGE = `node_modules/@esbuild/${process.platform}-${process.arch}`;

interface LockFile {
    readonly packages: Readonly<Record<string, object>>;
}

export interface BuildResult {
    readonly exitCode: number;
    readonly output: string;
}

/** A checkout with the real scripts and start file, a gateway of one line, and an `npm` that copies the only dependency, esbuild. */
export class Checkout {
    readonly dir = mkdtempSync(join(tmpdir(), "skylarkmill-checkout-"));
    private readonly children = new Set<ChildProcess>();

    constructor() {
        cpSync(join(rootDir, "scripts"), this.path("scripts"), { recursive: true });
        cpSync(join(rootDir, "deploy/system.toml"), this.path("deploy/system.toml"));
        const { engines } = JSON.parse(readFileSync(join(rootDir, "package.json"), "utf8")) as { engines: object; };
        this.write("package.json", JSON.stringify({ name: "checkout", type: "module", engines }));
        const { packages } = JSON.parse(readFileSync(join(rootDir, "package-lock.json"), "utf8")) as LockFile;
        const esbuildPackages = Object.entries(packages).filter(([path]) =>
            /^node_modules\/@?esbuild(\/|$)/.test(path)
        );
        this.write(
            "package-lock.json",
            JSON.stringify({ packages: { "": {}, ...Object.fromEntries(esbuildPackages) } }),
        );
        for (const file of ["gateway-start.ts", "node/daemon-signals.ts"]) {
            cpSync(join(rootDir, SOURCES, file), this.path(join(SOURCES, file)));
        }
        this.write(`${SOURCES}/gateway-main.ts`, "console.log('gateway runs');\n");
        this.write(`${SOURCES}/main.ts`, "console.log('main runs');\n");
        this.write("bin/npm", `#!/bin/sh\nexec node ${join(import.meta.dirname, "npm.mjs")} "$@"\n`);
        chmodSync(this.path("bin/npm"), 0o755);
        this.write("home/.npmrc", "");
    }

    path(name: string): string {
        return join(this.dir, name);
    }

    write(name: string, content: string): void {
        mkdirSync(dirname(this.path(name)), { recursive: true });
        writeFileSync(this.path(name), content);
    }

    /** Puts the dependencies in place, as a finished `npm ci` leaves them. */
    async installDependencies(): Promise<void> {
        await this.run("npm", ["ci"]);
        rmSync(this.path("npm-calls"));
    }

    /** Runs the `build` of the deploy file, after the given shell commands. */
    async build(env: Readonly<Record<string, string>> = {}, before = ":"): Promise<BuildResult> {
        const command = /^build = "(.*)"$/m.exec(readFileSync(this.path("deploy/system.toml"), "utf8"))?.[1];
        return this.run("sh", ["-c", `${before}; ${command}`], env);
    }

    async run(
        program: string,
        args: readonly string[],
        env: Readonly<Record<string, string>> = {},
    ): Promise<BuildResult> {
        const child = spawn(program, args, {
            cwd: this.dir,
            env: {
                PATH: `${this.path("bin")}:${dirname(process.execPath)}:${process.env.PATH}`,
                HOME: this.path("home"),
                PACKAGES_DIR: rootDir,
                NPM_CALLS: this.path("npm-calls"),
                ...env,
            },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.children.add(child);
        let output = "";
        for (const stream of [child.stdout, child.stderr]) stream.on("data", chunk => output += String(chunk));
        const exitCode = await new Promise<number>((resolve, reject) => {
            child.once("error", reject);
            child.once("close", code => resolve(code ?? -1));
        });
        this.children.delete(child);
        return { exitCode, output };
    }

    /** Arguments of each `npm ci`. */
    get npmCalls(): readonly string[] {
        const file = this.path("npm-calls");
        return existsSync(file) ? readFileSync(file, "utf8").trimEnd().split("\n") : [];
    }

    get targetFiles(): readonly string[] {
        return existsSync(this.path("target")) ? readdirSync(this.path("target")).sort() : [];
    }

    remove(): void {
        for (const child of this.children) child.kill("SIGKILL");
        rmSync(this.dir, { recursive: true, force: true });
    }
}

import { spawnSync } from "node:child_process";
import {
    chmodSync,
    closeSync,
    copyFileSync,
    existsSync,
    openSync,
    readdirSync,
    readFileSync,
    renameSync,
    rmSync,
    statSync,
    symlinkSync,
    utimesSync,
} from "node:fs";
import { hostname } from "node:os";
import { dirname } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { Checkout, PLATFORM_PACKAGE } from "./support/checkout.ts";

/** Node.js compiles a file of this size within a millisecond. */
const MAX_START_FILE_BYTES = 16 * 1024;
const BUNDLE_FILES = ["gateway-program.cjs", "gateway.cjs"];

let checkout: Checkout;
beforeEach(() => {
    checkout = new Checkout();
});
afterEach(() => checkout.remove());

async function expectGatewayRuns(): Promise<void> {
    const { output } = await checkout.run("node", ["target/gateway.cjs"]);
    expect(output).toBe("gateway runs\n");
}

// Guards against a build that takes any node_modules which is newer than the lock file for an installation.
describe("the build with a node_modules that", () => {
    const OTHER_PLATFORM_PACKAGE = `${dirname(PLATFORM_PACKAGE)}/linux-${process.arch === "x64" ? "arm64" : "x64"}`;
    const touch = (file: string, timeMs: number) => utimesSync(checkout.path(file), timeMs / 1000, timeMs / 1000);
    const cases = [
        {
            state: "is missing",
            change: () => rmSync(checkout.path("node_modules"), { recursive: true }),
            installs: true,
        },
        {
            state: "comes from another kind of processor",
            change: () => renameSync(checkout.path(PLATFORM_PACKAGE), checkout.path(OTHER_PLATFORM_PACKAGE)),
            installs: true,
        },
        {
            state: "an interrupted npm ci left",
            change: () => {
                rmSync(checkout.path("node_modules/.package-lock.json"));
                rmSync(checkout.path(PLATFORM_PACKAGE), { recursive: true });
            },
            installs: true,
        },
        {
            state: "has a damaged record of the installation",
            change: () => checkout.write("node_modules/.package-lock.json", "{"),
            installs: true,
        },
        { state: "is older than the lock file", change: () => touch("package-lock.json", Date.now()), installs: false },
        { state: "is in place", change: () => touch("package-lock.json", 0), installs: false },
    ];
    it.each(cases)("$state: installs $installs", async ({ change, installs }) => {
        await checkout.installDependencies();
        touch("node_modules", Date.now() - 10_000);
        touch("package-lock.json", Date.now() - 60_000);
        change();
        const { exitCode, output } = await checkout.build();
        expect(output).not.toContain("ERR_MODULE_NOT_FOUND");
        expect(exitCode).toBe(0);
        expect(checkout.npmCalls).toHaveLength(installs ? 1 : 0);
        await expectGatewayRuns();
    });
});

// Guards against an installation that empties the folder of another checkout, to which node_modules leads.
it("the build leaves a node_modules of another checkout alone", async () => {
    await checkout.installDependencies();
    renameSync(checkout.path("node_modules"), checkout.path("elsewhere"));
    rmSync(checkout.path("elsewhere/.package-lock.json"));
    symlinkSync(checkout.path("elsewhere"), checkout.path("node_modules"));
    const { exitCode, output } = await checkout.build();
    expect(exitCode).toBe(0);
    expect(output).toContain(`removing node_modules, a link to ${checkout.path("elsewhere")}`);
    expect(readdirSync(checkout.path("elsewhere")).toSorted()).toEqual(["@esbuild", "esbuild"]);
    await expectGatewayRuns();
});

// Guards against a build that lacks the bundler because the caller's environment leaves out development dependencies.
describe("the build in a clean checkout", () => {
    const cases: readonly { readonly env: Readonly<Record<string, string>>; }[] = [
        { env: { NODE_ENV: "production" } },
        { env: { npm_config_omit: "dev" } },
    ];
    it.each(cases)("installs all dependencies with $env", async ({ env }) => {
        const { exitCode, output } = await checkout.build(env);
        expect(output).not.toContain("ERR_MODULE_NOT_FOUND");
        expect(exitCode).toBe(0);
        await expectGatewayRuns();
    });

    it("runs no install script of a dependency, which may compile or download", async () => {
        const { exitCode } = await checkout.build({
            NPM_SCRIPT_FAILURE: "node-gyp: no answer from the server of the headers",
        });
        expect(exitCode).toBe(0);
        await expectGatewayRuns();
    });

    it("installs although the user's npm refuses packages that ask for a newer Node.js", async () => {
        const { exitCode, output } = await checkout.build({ npm_config_engine_strict: "true" });
        expect(output).not.toContain("EBADENGINE");
        expect(exitCode).toBe(0);
        await expectGatewayRuns();
    });

    it("needs no development dependency", () => {
        const { packages } = JSON.parse(readFileSync(checkout.path("package-lock.json"), "utf8")) as {
            packages: Record<string, { dev?: boolean; }>;
        };
        expect(Object.keys(packages).filter(path => packages[path]?.dev === true)).toEqual([]);
    });
});

// Guards against an installation that fails because npm's cache can't be written, as for a user without a home folder.
describe("the build for a user whose home folder", () => {
    const cases = [
        { state: "can be written", home: () => checkout.path("home"), usesOwnCache: false },
        { state: "doesn't exist and can't be made", home: () => "/dev/null/home", usesOwnCache: true },
        {
            state: "has a file in the place of the cache",
            home: () => {
                checkout.write("home/.npm/_cacache", "");
                return checkout.path("home");
            },
            usesOwnCache: true,
        },
    ];
    it.each(cases)("$state: uses a cache of its own $usesOwnCache", async ({ home, usesOwnCache }) => {
        const { exitCode, output } = await checkout.build({ HOME: home() });
        expect(output).not.toContain("ERR_MODULE_NOT_FOUND");
        expect(exitCode).toBe(0);
        await expectGatewayRuns();
        expect(checkout.npmCalls[0]?.includes(`--cache=${checkout.path("target/npm-cache")}`)).toBe(usesOwnCache);
        expect(checkout.targetFiles).toEqual(BUNDLE_FILES);
    });
});

// Guards against an installation that fails without a word, and a build that goes on after it.
describe("the build after an installation that fails", () => {
    const cases: readonly {
        fault: string;
        env: Readonly<Record<string, string>>;
        removesNpm?: boolean;
        shown: string;
    }[] = [
        { fault: "an unreachable registry", env: { NPM_FAILURE: "ENOTFOUND registry" }, shown: "ENOTFOUND registry" },
        {
            fault: "an unreachable registry and a silent npm",
            env: { NPM_FAILURE: "ENOTFOUND registry", npm_config_loglevel: "silent" },
            shown: "ENOTFOUND registry",
        },
        { fault: "no npm", env: {}, removesNpm: true, shown: "npm: spawn npm ENOENT" },
    ];
    it.each(cases)("names $fault and what to do", async ({ env, removesNpm = false, shown }) => {
        if (removesNpm) {
            rmSync(checkout.path("bin/npm"));
            symlinkSync(process.execPath, checkout.path("bin/node"));
            symlinkSync("/bin/sh", checkout.path("bin/sh"));
        }
        const { exitCode, output } = await checkout.build(removesNpm ? { PATH: checkout.path("bin") } : env);
        expect(exitCode).toBe(1);
        expect(output).toContain(shown);
        expect(output).toContain("`npm ci` failed (node_modules is missing");
        expect(output).toMatch(/run the build again/);
        expect(output).not.toContain("ERR_MODULE_NOT_FOUND");
        expect(checkout.targetFiles).toEqual([]);
    });

    it("names an optional package that npm couldn't download", async () => {
        const { exitCode, output } = await checkout.build({ NPM_LEAVES_OUT: PLATFORM_PACKAGE });
        expect(output).toContain(`\`npm ci\` left the dependencies incomplete: ${PLATFORM_PACKAGE} is missing`);
        expect(exitCode).toBe(1);
    });

    it("keeps the bundle of an earlier build", async () => {
        checkout.write("target/gateway.cjs", "console.log('gateway runs');\n");
        expect((await checkout.build({ NPM_FAILURE: "ENOTFOUND registry" })).exitCode).toBe(1);
        await expectGatewayRuns();
    });
});

// Guards against a build that succeeds although each start of a process ends by "bad option".
it("the build names a flag of the deploy file that this Node.js doesn't know", async () => {
    const deployFile = readFileSync(checkout.path("deploy/system.toml"), "utf8");
    checkout.write("deploy/system.toml", deployFile.replace('run = "node ', 'run = "node --flag-of-another-version '));
    const { exitCode, output } = await checkout.build();
    expect(exitCode).toBe(1);
    expect(output).toContain(`Node.js ${process.versions.node} can't run \`node --flag-of-another-version `);
    expect(output).toContain("bad option: --flag-of-another-version");
});

// Guards against a gateway that ends by a signal because its program is still being read and compiled.
it("the start file has its signal listeners before it loads the program", async () => {
    checkout.write(
        "packages/skylarkmill/src/gateway-main.ts",
        "console.log(['SIGHUP', 'SIGUSR1', 'SIGTERM'].map(signal => process.listenerCount(signal)).join(' '));\n",
    );
    expect((await checkout.build()).exitCode).toBe(0);
    const { output } = await checkout.run("node", ["target/gateway.cjs"]);
    expect(output).toBe("1 1 1\n");
    expect(statSync(checkout.path("target/gateway.cjs")).size).toBeLessThan(MAX_START_FILE_BYTES);
});

// Guards against a bundle that a process under another user can't read.
describe("the bundle for other users", () => {
    const modeOf = (name: string) => (statSync(checkout.path(name)).mode & 0o777).toString(8);
    const cases = [
        { state: "a narrow umask", before: "umask 077" },
        { state: "a target/ that a narrow umask made", before: "umask 077; mkdir target; touch target/gateway.cjs" },
        { state: "the usual umask", before: "umask 022" },
    ];
    it.each(cases)("can be read after a build with $state", async ({ before }) => {
        const { exitCode } = await checkout.build({}, before);
        expect(exitCode).toBe(0);
        expect({ target: modeOf("target"), bundles: BUNDLE_FILES.map(file => modeOf(`target/${file}`)) }).toEqual({
            target: "755",
            bundles: ["644", "644"],
        });
    });
});

// Guards against a start beside a build that loads half of a bundle.
describe("a build beside a running system", () => {
    const OLD_BUNDLE = "console.log('old gateway runs');\n";

    it.each(BUNDLE_FILES)("leaves %s whole for a process that is loading it", async name => {
        checkout.write(`target/${name}`, OLD_BUNDLE);
        const file = openSync(checkout.path(`target/${name}`), "r");
        try {
            expect((await checkout.build()).exitCode).toBe(0);
            expect(readFileSync(file, "utf8")).toBe(OLD_BUNDLE);
        }
        finally {
            closeSync(file);
        }
        await expectGatewayRuns();
        expect(checkout.targetFiles).toEqual(BUNDLE_FILES);
    });

    it("keeps the bundle if the sources have an error", async () => {
        checkout.write("target/gateway.cjs", OLD_BUNDLE);
        checkout.write("packages/skylarkmill/src/gateway-main.ts", "console.log(");
        const { exitCode, output } = await checkout.build();
        expect(exitCode).toBe(1);
        expect(output).toContain("gateway-main.ts:1:12: ERROR");
        expect(readFileSync(checkout.path("target/gateway.cjs"), "utf8")).toBe(OLD_BUNDLE);
        expect(checkout.targetFiles).toEqual(["gateway.cjs"]);
    });
});

// Guards against a build of the executable that fails as long as a process runs from it.
describe("the build of the executable while it runs", () => {
    const cases = [
        { result: "replaces it", postjectExitCode: 0, isReplaced: true },
        { result: "keeps it if a step fails", postjectExitCode: 1, isReplaced: false },
    ];
    it.each(cases)("$result", async ({ postjectExitCode, isReplaced }) => {
        await checkout.installDependencies();
        checkout.write("node_modules/.bin/postject", `#!/bin/sh\nexit ${postjectExitCode}\n`);
        chmodSync(checkout.path("node_modules/.bin/postject"), 0o755);
        checkout.write("dist/skylarkmill", "");
        const binaryFile = checkout.path("dist/skylarkmill");
        copyFileSync(process.execPath, binaryFile);
        chmodSync(binaryFile, 0o700);
        const running = checkout.run(binaryFile, ["-e", "setTimeout(() => {}, 60_000)"]);
        const { exitCode, output } = await checkout.run("node", ["scripts/build-binary.mjs"]);
        expect(output).not.toContain("ETXTBSY");
        expect(exitCode).toBe(postjectExitCode);
        expect(statSync(binaryFile).mode & 0o777).toBe(isReplaced ? 0o755 : 0o700);
        expect(readdirSync(checkout.path("dist")).filter(name => name.endsWith(".part"))).toEqual([]);
        checkout.remove();
        expect((await running).exitCode).toBe(-1);
    });
});

// Guards against builds that install into the same node_modules at once, each deleting what the other has installed.
describe("two builds at once", () => {
    it("install once and both succeed", async () => {
        const first = checkout.build({ NPM_DURATION_MS: "600" });
        await expect.poll(() => checkout.npmCalls.length).toBe(1);
        const results = await Promise.all([first, checkout.build({ NPM_DURATION_MS: "600" })]);
        expect(results.map(result => result.exitCode)).toEqual([0, 0]);
        expect(checkout.npmCalls).toHaveLength(1);
        expect(results[1]?.output).toContain("waiting for the installation by process");
        await expectGatewayRuns();
        expect(checkout.targetFiles).toEqual(BUNDLE_FILES);
    });

    // The installation that goes on would delete what the one of the next build installs.
    it("don't install at once after a stop of the first", async () => {
        const args = ["--foreground", "--signal=TERM", "3", process.execPath, "scripts/build.mjs", "--gateway"];
        const { output } = await checkout.run("timeout", args, { NPM_DURATION_MS: "8000" });
        expect(output).toContain("was ended by SIGTERM");
        expect(existsSync(checkout.path("node_modules/.package-lock.json"))).toBe(false);
        expect(checkout.targetFiles).toEqual([]);
        expect((await checkout.build()).exitCode).toBe(0);
        await expectGatewayRuns();
    });

    it("succeed after a build that was killed", async () => {
        const { pid } = spawnSync("true");
        checkout.write("target/install.lock", JSON.stringify({ pid, host: hostname() }));
        const results = await Promise.all([checkout.build(), checkout.build()]);
        expect(results.map(result => result.exitCode)).toEqual([0, 0]);
        await expectGatewayRuns();
        expect(checkout.targetFiles).toEqual(BUNDLE_FILES);
    });
});

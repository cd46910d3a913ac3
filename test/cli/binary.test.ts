import { execFile } from "node:child_process";
import { existsSync } from "node:fs";
import { join } from "node:path";
import { promisify } from "node:util";
import { describe, expect, it } from "vitest";

const BINARY = join(import.meta.dirname, "../../dist/skylarkmill");
const run = promisify(execFile);

// Guards against an executable that fails because the bundle loads a module or a JSON state chart from the file system,
// where only the repository has it.
describe("the single executable", () => {
    const cases = [
        { args: ["--help"], expected: "router" },
        { args: ["settings", "--markdown"], expected: "SKYLARKMILL_PEER_KEYS" },
        { args: ["dev", "--once"], expected: "configuration edit read back" },
    ];
    it.each(cases)("runs with $args", async ({ args, expected }) => {
        if (!existsSync(BINARY)) throw new Error("dist/skylarkmill is missing; run `npm run build:binary`");
        const { stdout } = await run(BINARY, args, { maxBuffer: 16 * 1024 * 1024 });
        expect(stdout).toContain(expected);
    }, 60_000);
});

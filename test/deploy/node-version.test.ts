import { readFileSync } from "node:fs";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { findVersionFault, toMajorRange } from "../../scripts/installation.mjs";
import { Checkout } from "./support/checkout.ts";

const rootDir = join(import.meta.dirname, "../..");

interface Manifest {
    readonly dev?: boolean;
    readonly link?: boolean;
    readonly optional?: boolean;
    readonly engines?: { readonly node?: string; };
}

function readJson<T>(path: string): T {
    return JSON.parse(readFileSync(join(rootDir, path), "utf8")) as T;
}

describe("findVersionFault", () => {
    const cases = [
        { version: "20.18.1", isFault: false },
        { version: "20.20.2", isFault: false },
        { version: "22.0.0", isFault: false },
        { version: "100.0.0", isFault: false },
        { version: "20.18.0", isFault: true },
        { version: "20.9.0", isFault: true },
        { version: "18.20.0", isFault: true },
        { version: "8.99.99", isFault: true },
        { version: "20.18.1-nightly", isFault: false },
    ];
    it.each(cases)("Node.js $version: $isFault", ({ version, isFault }) => {
        const fault = findVersionFault(version, ">=20.18.1");
        if (isFault) expect(fault).toBe(`Node.js 20.18.1 or newer is needed, and this is ${version}`);
        else expect(fault).toBeUndefined();
    });
});

// Guards against a build or a process that ends with a message about something else on a Node.js that is too old.
describe("the oldest Node.js that package.json allows", () => {
    let checkout: Checkout;
    beforeEach(() => {
        checkout = new Checkout();
    });
    afterEach(() => checkout.remove());

    const allowed = readJson<Manifest>("package.json").engines?.node ?? "";
    const { packages } = readJson<{ packages: Record<string, Manifest>; }>("package-lock.json");
    const runTimeDependencies = Object.entries(packages)
        .filter(([path, { dev, link, optional }]) => path.includes("node_modules/") && !dev && !link && !optional)
        .flatMap(([path, { engines }]) => engines?.node === undefined ? [] : [{ path, range: engines.node }]);

    it.each(runTimeDependencies)("is enough for $path ($range)", ({ range }) => {
        const oldest = allowed.replace(">=", "");
        expect(findVersionFault(oldest, /(>=.*|\*)$/.exec(range)?.[0].replace("*", ">=0") ?? range)).toBeUndefined();
    });

    it("is the same in the lock file", () => {
        expect(packages[""]?.engines?.node).toBe(allowed);
    });

    // Guards against a host that is refused although its Node.js would do.
    it("is named by a build on an older one of the same major version, which continues", async () => {
        const [major] = process.versions.node.split(".");
        checkout.write("package.json", JSON.stringify({ type: "module", engines: { node: `>=${major}.999.1` } }));
        const { exitCode, output } = await checkout.build();
        expect(output).toContain(`Node.js ${major}.999.1 or newer is needed, and this is ${process.versions.node};`);
        expect(exitCode).toBe(0);
        expect(checkout.targetFiles).toEqual(["gateway-program.cjs", "gateway.cjs"]);
    });

    it.each([[">=20.18.1", ">=20"], [">=20", ">=20"], [">= 22.1", ">= 22"]])(
        "of %s has the range %s",
        (range, major) => {
            expect(toMajorRange(range)).toBe(major);
        },
    );

    it("is named by a build on an older one", async () => {
        checkout.write("package.json", JSON.stringify({ type: "module", engines: { node: ">=99.1.0" } }));
        const { exitCode, output } = await checkout.build();
        expect(exitCode).toBe(1);
        expect(output).toBe(`Node.js 99.1.0 or newer is needed, and this is ${process.versions.node}\n`);
        expect(checkout.npmCalls).toEqual([]);
    });
});

import { join } from "node:path";
import { findRunFault, install, makeOutputDir, replaceFile, rootDir } from "./steps.mjs";

if (await install({ needsDev: false }) !== 0) process.exit(1);
const { build } = await import("esbuild");

const READABLE_FILE_MODE = 0o644;

/** Excludes zod's messages in other languages from the bundle; zod imports those of its default language directly. */
const excludeLocales = {
    name: "leave-out-locales",
    setup(builder) {
        builder.onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({ contents: "export {};" }));
    },
};

/** Loads a module from another file of the output folder instead of adding it to the bundle. */
function useOtherBundle(modulePath, fileName) {
    return {
        name: `use-${fileName}`,
        setup(builder) {
            builder.onResolve(
                { filter: /^\./ },
                ({ path, resolveDir }) =>
                    join(resolveDir, path) === join(rootDir, modulePath)
                        ? { path: `./${fileName}`, external: true }
                        : undefined,
            );
        },
    };
}

/** Bundles an entry point into one CommonJS file, the only format that a single executable application can load. */
async function bundle(entryPoint, outputDir, fileName, plugins = []) {
    const options = {
        entryPoints: [join(rootDir, entryPoint)],
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        sourcemap: false,
        // V8 keeps the source text in memory, so the bundle is minified. Identifiers are kept, since errors use the names
        // of their classes.
        minifyWhitespace: true,
        minifySyntax: true,
        logLevel: "warning",
        plugins: [excludeLocales, ...plugins],
        // bunyan loads these optional native modules only if they exist.
        external: ["dtrace-provider", "mv", "safe-json-stringify", "source-map-support"],
        define: { "import.meta.dirname": "__dirname", "import.meta.url": "__importMetaUrl" },
        banner: { js: 'const __importMetaUrl = require("node:url").pathToFileURL(__filename).href;' },
    };
    const bundleFile = join(makeOutputDir(outputDir), fileName);
    await replaceFile(bundleFile, READABLE_FILE_MODE, outfile => build({ ...options, outfile }));
}

// The gateway gets its own bundle with only the modules that it needs, since loading code takes most of its start-up time.
if (process.argv.includes("--gateway")) {
    const sources = "packages/skylarkmill/src";
    await bundle(`${sources}/gateway-main.ts`, "target", "gateway-program.cjs", [
        useOtherBundle(`${sources}/node/daemon-signals.ts`, "gateway.cjs"),
    ]);
    // Last, so that a process which starts meanwhile finds a program.
    await bundle(`${sources}/gateway-start.ts`, "target", "gateway.cjs", [
        useOtherBundle(`${sources}/gateway-main.ts`, "gateway-program.cjs"),
    ]);
    const fault = findRunFault("target/gateway.cjs");
    if (fault !== undefined) {
        console.error(fault);
        process.exit(1);
    }
}
else await bundle("packages/skylarkmill/src/main.ts", "dist", "skylarkmill.cjs");

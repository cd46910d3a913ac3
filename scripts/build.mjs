import { build } from "esbuild";
import { join } from "node:path";
import { rootDir } from "./steps.mjs";

/** Bundles the command line into one CommonJS file; a single executable can only load such a file. */
await build({
    entryPoints: [join(rootDir, "packages/skylarkmill/src/main.ts")],
    outfile: join(rootDir, "dist/skylarkmill.cjs"),
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    sourcemap: false,
    logLevel: "warning",
    // bunyan loads these optional native modules only if they exist.
    external: ["dtrace-provider", "mv", "safe-json-stringify", "source-map-support"],
    define: { "import.meta.dirname": "__dirname", "import.meta.url": "__importMetaUrl" },
    banner: { js: 'const __importMetaUrl = require("node:url").pathToFileURL(__filename).href;' },
});

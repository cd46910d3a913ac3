import { chmodSync, copyFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { rootDir, run, runInstalled } from "./steps.mjs";

const distDir = join(rootDir, "dist");
const binary = join(distDir, "skylarkmill");
const blob = join(distDir, "skylarkmill.blob");
const seaConfig = join(distDir, "sea-config.json");
const SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

function must(exitCode, step) {
    if (exitCode !== 0) {
        console.error(`build of the binary failed at: ${step}`);
        process.exit(1);
    }
}

must(run(process.execPath, ["scripts/build.mjs"]), "bundle");
writeFileSync(
    seaConfig,
    JSON.stringify({ main: join(distDir, "skylarkmill.cjs"), output: blob, disableExperimentalSEAWarning: true }),
);
must(run(process.execPath, ["--experimental-sea-config", seaConfig]), "blob");
copyFileSync(process.execPath, binary);
chmodSync(binary, 0o755);
must(runInstalled("postject", [binary, "NODE_SEA_BLOB", blob, "--sentinel-fuse", SENTINEL_FUSE]), "postject");
console.log("built dist/skylarkmill");

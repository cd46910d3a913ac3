import { chmodSync, copyFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { rootDir, run, runInstalled } from "./steps.mjs";

const distDir = join(rootDir, "dist");
const binaryFile = join(distDir, "skylarkmill");
const blobFile = join(distDir, "skylarkmill.blob");
const seaConfigFile = join(distDir, "sea-config.json");
// Marker in the Node.js executable that postject changes when it injects a blob; the value is given in the Node.js
// documentation of single executable applications.
const SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

function exitOnFailure(exitCode, step) {
    if (exitCode !== 0) {
        console.error(`build of the binary failed at: ${step}`);
        process.exit(1);
    }
}

exitOnFailure(run(process.execPath, ["scripts/build.mjs"]), "bundle");
writeFileSync(
    seaConfigFile,
    JSON.stringify({ main: join(distDir, "skylarkmill.cjs"), output: blobFile, disableExperimentalSEAWarning: true }),
);
exitOnFailure(run(process.execPath, ["--experimental-sea-config", seaConfigFile]), "SEA blob");
copyFileSync(process.execPath, binaryFile);
chmodSync(binaryFile, 0o755);
exitOnFailure(
    runInstalled("postject", [binaryFile, "NODE_SEA_BLOB", blobFile, "--sentinel-fuse", SENTINEL_FUSE]),
    "postject",
);
console.log("built dist/skylarkmill");

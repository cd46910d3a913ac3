import { chmodSync, copyFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { replaceFile, rootDir, run, runInstalled } from "./steps.mjs";

const distDir = join(rootDir, "dist");
const binaryFile = join(distDir, "skylarkmill");
const blobFile = join(distDir, "skylarkmill.blob");
const seaConfigFile = join(distDir, "sea-config.json");
// Marker in the Node.js executable that postject changes when it injects a blob; the value is given in the Node.js
// documentation of single executable applications.
const SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const EXECUTABLE_MODE = 0o755;

function throwOnFailure(exitCode, step) {
    if (exitCode !== 0) throw new Error(`build of the binary failed at: ${step}`);
}

throwOnFailure(run(process.execPath, ["scripts/build.mjs"]), "bundle");
writeFileSync(
    seaConfigFile,
    JSON.stringify({ main: join(distDir, "skylarkmill.cjs"), output: blobFile, disableExperimentalSEAWarning: true }),
);
throwOnFailure(run(process.execPath, ["--experimental-sea-config", seaConfigFile]), "SEA blob");
// A program that runs can't be written to, so the new one takes its place.
await replaceFile(binaryFile, EXECUTABLE_MODE, partFile => {
    copyFileSync(process.execPath, partFile);
    // The executable of Node.js may be read-only, and postject writes to the copy.
    chmodSync(partFile, EXECUTABLE_MODE);
    throwOnFailure(
        runInstalled("postject", [partFile, "NODE_SEA_BLOB", blobFile, "--sentinel-fuse", SENTINEL_FUSE]),
        "postject",
    );
});
console.log("built dist/skylarkmill");

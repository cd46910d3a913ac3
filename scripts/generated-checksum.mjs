import { createHash } from "node:crypto";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { rootDir } from "./steps.mjs";

const inputs = ["packages/protocol/proto/skylarkmill/peer/v1/peer.proto", "buf.gen.yaml"];
const outputs = ["packages/protocol/src/gen/skylarkmill/peer/v1/peer_pb.ts"];
const checksumFile = join(rootDir, "packages/protocol/src/gen/checksum.json");

function sha256(files) {
    const hash = createHash("sha256");
    for (const file of files) hash.update(readFileSync(join(rootDir, file)));
    return hash.digest("hex");
}

const actual = { inputs: sha256(inputs), outputs: sha256(outputs) };
if (process.argv.includes("--write")) {
    writeFileSync(checksumFile, `${JSON.stringify(actual, undefined, 4)}\n`);
}
else {
    const recorded = JSON.parse(readFileSync(checksumFile, "utf8"));
    if (recorded.inputs !== actual.inputs || recorded.outputs !== actual.outputs) {
        console.error("Generated code does not match its .proto file; run `npm run generate`.");
        process.exit(1);
    }
    console.log("generated code is up to date");
}

import { parseArgs } from "node:util";
import { runGateway } from "./commands/gateway.ts";
import { exitProcess } from "./node/log-output.ts";
import { gatewaySettings } from "./settings/gateway.ts";

// The gateway bundle parses its flags with `parseArgs`, because loading meow would double the start-up time.
const names = Object.values(gatewaySettings.table).map(setting => setting.name);
const { values, positionals } = parseArgs({
    options: Object.fromEntries(names.map(name => [name, { type: "string" as const }])),
    allowPositionals: true,
    strict: false,
});

void runGateway({ input: positionals, flags: values }).then(exitProcess);

import type { CommandSettings, ParsedArguments, SettingTable, SettingValues } from "../types/setting.ts";
import { formatFaults, resolveSettings } from "./resolve-settings.ts";

const USAGE_ERROR = 2;

/** Resolves a command's settings and runs it; prints all faults and gives exit code 2 when there are any. */
export async function runWithSettings<Table extends SettingTable>(
    words: string,
    settings: CommandSettings<Table>,
    args: ParsedArguments,
    run: (values: SettingValues<Table>) => Promise<number>,
): Promise<number> {
    const values = resolveSettings(settings, args, process.env);
    if (values.isOk()) return run(values.value);
    process.stderr.write(`${formatFaults(words, values.error)}\n`);
    return USAGE_ERROR;
}

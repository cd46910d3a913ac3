import type { CommandSettings, ParsedArguments, SettingTable, SettingValues } from "../types/setting.ts";
import { formatSettingIssues, resolveSettings } from "./resolve-settings.ts";

const USAGE_ERROR_EXIT_CODE = 2;

/** Runs a command with its resolved settings; if any is invalid, prints all issues and resolves with exit code 2. */
export async function runWithSettings<Table extends SettingTable>(
    commandName: string,
    settings: CommandSettings<Table>,
    args: ParsedArguments,
    run: (values: SettingValues<Table>) => Promise<number>,
): Promise<number> {
    const values = resolveSettings(settings, args, process.env);
    if (values.isOk()) return run(values.value);
    process.stderr.write(`${formatSettingIssues(commandName, values.error)}\n`);
    return USAGE_ERROR_EXIT_CODE;
}

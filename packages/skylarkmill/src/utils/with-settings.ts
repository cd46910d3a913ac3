import { hostname } from "node:os";
import { readAwaitedFile } from "../node/awaited-file.ts";
import { createLogger } from "../node/logger.ts";
import type {
    AwaitedSecretFile,
    CommandSettings,
    ParsedArguments,
    SettingIssue,
    SettingTable,
    SettingValues,
} from "../types/setting.ts";
import { formatSettingIssues, resolveSettings } from "./resolve-settings.ts";
import { decodeSecretFile } from "./secrets.ts";

const USAGE_ERROR_EXIT_CODE = 2;
/** Longest time that a start waits for a secret's file; programs that write secrets do so within seconds. */
const SECRET_FILE_WAIT_MS = 10_000;

/** Returns the files to wait for, or none if a wait can't end all issues. */
function listAwaitedFiles(issues: readonly SettingIssue[]): readonly AwaitedSecretFile[] {
    const files = issues.flatMap(({ awaitedFile }) => awaitedFile ?? []);
    return files.length === issues.length ? files : [];
}

type WaitOutcome = "complete" | "unusable" | "stopped";

async function awaitSecretFiles(commandName: string, files: readonly AwaitedSecretFile[]): Promise<WaitOutcome> {
    if (files.length === 0) return "unusable";
    // The host's id and the log level are settings too.
    const logger = createLogger({ role: commandName, hostId: hostname(), level: "info", secrets: () => [] });
    for (const { path, parse } of files) {
        const read = await readAwaitedFile({
            path,
            step: "secrets.read",
            decode: text => decodeSecretFile(text, parse),
            maxWaitMs: SECRET_FILE_WAIT_MS,
            logger,
        });
        if (read === undefined) return "stopped";
        if (read.isErr()) return "unusable";
    }
    return "complete";
}

/**
 * Runs a command with its resolved settings; if any is invalid, prints all issues and resolves with exit code 2. If the
 * only issues are files of secrets that may still be written, waits for them first.
 */
export async function runWithSettings<Table extends SettingTable>(
    commandName: string,
    settings: CommandSettings<Table>,
    args: ParsedArguments,
    run: (values: SettingValues<Table>) => Promise<number>,
): Promise<number> {
    for (;;) {
        const values = resolveSettings(settings, args, process.env);
        if (values.isOk()) return run(values.value);
        const outcome = await awaitSecretFiles(commandName, listAwaitedFiles(values.error));
        if (outcome === "stopped") return 0;
        if (outcome === "unusable") {
            process.stderr.write(`${formatSettingIssues(commandName, values.error)}\n`);
            return USAGE_ERROR_EXIT_CODE;
        }
    }
}

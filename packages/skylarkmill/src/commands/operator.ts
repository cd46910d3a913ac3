import { runOperatorCommand } from "@skylarkmill/control";

/** Runs the operator command that `argv` names, such as `config get`; resolves with the exit code. */
export function runOperatorCommandLine(argv: readonly string[]): Promise<number> {
    return runOperatorCommand(argv);
}

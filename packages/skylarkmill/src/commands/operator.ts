import { runOperatorCommand } from "@skylarkmill/control";

/** Runs an operator command, such as `config get`; resolves with the exit code. */
export function runOperator(argv: readonly string[]): Promise<number> {
    return runOperatorCommand(argv);
}

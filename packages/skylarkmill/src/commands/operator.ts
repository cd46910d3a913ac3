import { runOperatorCommand } from "@skylarkmill/control";

/** Runs a command of the operators; resolves with the exit code. */
export function runOperator(argv: readonly string[]): Promise<number> {
    return runOperatorCommand(argv);
}

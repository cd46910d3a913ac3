import * as control from "@skylarkmill/control";

/** Entry point of the operators' commands in the control package. */
type RunOperatorCommand = (argv: readonly string[]) => Promise<number>;

/** Runs a command of the operators; resolves with the exit code. */
export async function runOperator(argv: readonly string[]): Promise<number> {
    const { runOperatorCommand } = control as { readonly runOperatorCommand?: RunOperatorCommand; };
    if (runOperatorCommand === undefined) {
        process.stderr.write(`skylarkmill ${argv[0] ?? ""}: this build has no operator commands\n`);
        return 1;
    }
    return runOperatorCommand(argv);
}

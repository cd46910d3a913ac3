/** Time within which an engine's reported state shows that a command was accepted. */
const COMMAND_EFFECT_DELAY_MS = 300;

/** Tracks commands whose effect may not be visible yet in the engine's state, by engine or engine and adapter. */
export class RecentCommands {
    private readonly sentAtMs = new Map<string, number>();

    record(key: string, now: number): void {
        this.sentAtMs.set(key, now);
    }

    has(key: string, now: number): boolean {
        return now - (this.sentAtMs.get(key) ?? -Infinity) <= COMMAND_EFFECT_DELAY_MS;
    }
}

import { createActor, createMachine, type MachineConfig } from "xstate";

/** A state chart as its JSON file holds it: flat states with events that name the next state. */
export interface ChartFile {
    readonly id: string;
    readonly initial: string;
    readonly states: Readonly<Record<string, { readonly on?: Readonly<Record<string, string>>; }>>;
}

/**
 * Interprets one instance of a JSON state chart.
 *
 * @example
 * const chart = new Chart<"absent" | "loading", "LOAD">(replicaChart);
 * chart.send("LOAD"); // true; chart.state is "loading"
 */
export class Chart<State extends string, Event extends string> {
    private readonly actor;

    constructor(file: ChartFile) {
        this.actor = createActor(machineOf(file));
        this.actor.start();
    }

    get state(): State {
        return this.actor.getSnapshot().value as State;
    }

    /** Sends an event; returns whether the state changed. */
    send(event: Event): boolean {
        const before = this.state;
        this.actor.send({ type: event });
        return this.state !== before;
    }
}

const machines = new WeakMap<ChartFile, ReturnType<typeof build>>();

function build(file: ChartFile) {
    return createMachine(file as MachineConfig<object, { type: string; }>);
}

/** One machine per file serves all its instances. */
function machineOf(file: ChartFile): ReturnType<typeof build> {
    const known = machines.get(file) ?? build(file);
    machines.set(file, known);
    return known;
}

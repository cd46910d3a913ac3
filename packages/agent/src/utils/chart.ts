import { createActor, createMachine, type MachineConfig } from "xstate";

/** Content of a JSON state chart: flat states that map events to the next state. */
export interface ChartFile {
    readonly id: string;
    readonly initial: string;
    readonly states: Readonly<Record<string, { readonly on?: Readonly<Record<string, string>>; }>>;
}

/**
 * Runs one instance of a JSON state chart.
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

    /** Sends an event. Returns whether the state has changed. */
    send(event: Event): boolean {
        const previousState = this.state;
        this.actor.send({ type: event });
        return this.state !== previousState;
    }
}

const machines = new WeakMap<ChartFile, ReturnType<typeof buildMachine>>();

function buildMachine(file: ChartFile) {
    return createMachine(file as MachineConfig<object, { type: string; }>);
}

/** Returns the machine of a chart file, which all instances share. */
function machineOf(file: ChartFile): ReturnType<typeof buildMachine> {
    const machine = machines.get(file) ?? buildMachine(file);
    machines.set(file, machine);
    return machine;
}

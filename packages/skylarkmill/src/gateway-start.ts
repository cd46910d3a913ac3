// The file that a gateway's process loads first. It is small, since a signal that arrives before it has run ends the
// process, and reading and compiling the program takes most of the start.
import { installDaemonSignals } from "./node/daemon-signals.ts";

export * from "./node/daemon-signals.ts";

installDaemonSignals();
// A static import would be evaluated before the listeners are installed.
void import("./gateway-main.ts");

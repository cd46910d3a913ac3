import { z } from "zod";
import type { CommandSettings } from "../types/setting.ts";
import { integerSetting, logLevelSetting } from "./common.ts";

const table = {
    nodeFile: {
        name: "node-file",
        description: "Settings file that the platform writes for this host.",
        schema: z.string().min(1),
        accepted: "a file's path",
        defaultText: "/etc/skylarkmill/settings.json",
    },
    storeLoads: integerSetting(
        "store-loads",
        "Loads from the weight store at once at which it is at full speed.",
        1,
        1_000,
        "4",
    ),
    enginePolicy: {
        name: "engine-policy",
        description: "How models are placed on engines.",
        schema: z.enum(["demand", "fixed"]),
        accepted: "demand or fixed",
        defaultText: "demand",
    },
    serverChoice: {
        name: "server-choice",
        description: "How servers are chosen by load; spread is meant for many gateways that choose on old news.",
        schema: z.enum(["least_load", "spread"]),
        accepted: "least_load or spread",
        defaultText: "least_load",
    },
    logLevel: logLevelSetting,
};

/** Settings of a gateway on the platform; its addresses and limits come from the settings file that the platform writes. */
export const gatewaySettings: CommandSettings<typeof table> = { table };

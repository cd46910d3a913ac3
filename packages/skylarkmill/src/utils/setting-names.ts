import type { Setting } from "../types/setting.ts";

export function toFlagName(setting: Setting): string {
    return `--${setting.name}`;
}

export function toEnvironmentVariableName(setting: Setting): string {
    return `SKYLARKMILL_${setting.name.replaceAll("-", "_").toUpperCase()}`;
}

/** Returns the name of a setting for messages, such as `--listen (SKYLARKMILL_LISTEN)`. */
export function toDisplayName(setting: Setting): string {
    return setting.isSecret === true
        ? toEnvironmentVariableName(setting)
        : `${toFlagName(setting)} (${toEnvironmentVariableName(setting)})`;
}
